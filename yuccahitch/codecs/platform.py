"""The platform's instance list and client directory as JSON."""

from __future__ import annotations

import typing

from yuccahitch import records
from yuccahitch.resources import client, entry


class InstanceListEntry(records.Record):
    """An entry of the instance list.

    Attributes:
        name: Name of the instance or upstream.
        address: Peer address of a gateway instance, or base URL of an upstream.
        gateway: Whether it is a gateway instance.
        leaving: Whether it is leaving.
    """

    __slots__ = ("name", "address", "gateway", "leaving")

    def __init__(self, *, name: str, address: str, gateway: bool, leaving: bool) -> None:
        self.name = name
        self.address = address
        self.gateway = gateway
        self.leaving = leaving


def instances_from_json(data: typing.Any) -> list[InstanceListEntry]:
    """Read the instance list.

    Raises:
        KeyError: When a field is missing.
        TypeError: When the list has another shape.
    """
    return [
        InstanceListEntry(
            name=item["name"],
            address=item["address"],
            gateway=item["role"] == "gateway",
            leaving=item["state"] == "leaving",
        )
        for item in data["instances"]
    ]


def clients_from_json(data: typing.Any) -> list[entry.Entry]:
    """Read the client directory as entries whose versions are the directory's revisions.

    Raises:
        KeyError: When a field is missing.
        TypeError: When the directory has another shape.
    """
    return [
        entry.Entry(
            kind="client",
            name=item["name"],
            version=int(item["revision"]),
            write_id="directory",
            spec=client.Client(
                name=item["name"],
                closed=bool(item.get("closed", False)),
                home=str(item.get("home", "")),
            ),
        )
        for item in data["clients"]
    ]
