"""Decodes the platform's instance list and client directory from JSON."""

from __future__ import annotations

import typing

from yuccahitch import records
from yuccahitch.resources import client, entry


class InstanceListEntry(records.Record):
    """One entry of the instance list, a gateway instance or an upstream.

    Attributes:
        name: Name of the instance or upstream.
        address: Peer address of a gateway instance, or base URL of an upstream.
        gateway: Whether the entry is a gateway instance.
        leaving: Whether the platform lists it as leaving.
    """

    __slots__ = ("name", "address", "gateway", "leaving")

    def __init__(self, *, name: str, address: str, gateway: bool, leaving: bool) -> None:
        self.name = name
        self.address = address
        self.gateway = gateway
        self.leaving = leaving


def instances_from_json(data: typing.Any) -> list[InstanceListEntry]:
    """Decode the instance list.

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
    """Decode the client directory to entries, each with its directory revision as its version.

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
