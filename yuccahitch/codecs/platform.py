"""Decodes the platform's instance list and client directory from JSON."""

from __future__ import annotations

import typing

from yuccahitch import records
from yuccahitch.resources import client, entry

# What reading an odd entry may raise.
ENTRY_ERRORS = (KeyError, TypeError, AttributeError, ValueError, ArithmeticError, RecursionError)
# Longest description of such an entry, in characters.
MAX_DETAIL_LENGTH = 200


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


class Listing(records.Record):
    """A list of the platform as far as it can be read.

    Attributes:
        entries: The decoded entries.
        unreadable: What is wrong with each entry that can't be read.
    """

    __slots__ = ("entries", "unreadable")

    def __init__(self, entries: list[typing.Any], unreadable: list[str]) -> None:
        self.entries = entries
        self.unreadable = unreadable


def instances_from_json(data: typing.Any) -> Listing:
    """Decode the instance list to ``InstanceListEntry`` records.

    Raises:
        KeyError: When there is no list.
        TypeError: When the list has another shape.
    """
    return _read_each(data["instances"], _read_instance)


def clients_from_json(data: typing.Any) -> Listing:
    """Decode the client directory to entries, each with its directory revision as its version.

    Raises:
        KeyError: When there is no list.
        TypeError: When the directory has another shape.
    """
    return _read_each(data["clients"], _read_client)


def _read_each(
    items: typing.Iterable[typing.Any], read: typing.Callable[[typing.Any], typing.Any]
) -> Listing:
    """Decode each item of a list; those that can't be read hide no others."""
    listing = Listing([], [])
    for item in items:
        try:
            listing.entries.append(read(item))
        except ENTRY_ERRORS as error:
            listing.unreadable.append(f"{error!r} in {item!r}"[:MAX_DETAIL_LENGTH])
    return listing


def _read_instance(item: typing.Any) -> InstanceListEntry:
    return InstanceListEntry(
        name=_check_text(item["name"]),
        address=_check_text(item["address"]),
        gateway=item["role"] == "gateway",
        leaving=item["state"] == "leaving",
    )


def _read_client(item: typing.Any) -> entry.Entry:
    name = _check_text(item["name"])
    return entry.Entry(
        kind="client",
        name=name,
        version=int(item["revision"]),
        write_id="directory",
        spec=client.Client(
            name=name,
            closed=bool(item.get("closed", False)),
            home=str(item.get("home", "")),
        ),
    )


def _check_text(value: typing.Any) -> str:
    """Return a non-empty string unchanged; raise TypeError for any other value."""
    if type(value) is not str or not value:
        raise TypeError("expected a non-empty string")
    return value
