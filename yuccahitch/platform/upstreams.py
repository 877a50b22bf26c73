"""Decodes the entries that upstreams register in the store."""

from __future__ import annotations

import json
import typing

from yuccahitch.resources import upstream

# Whether an upstream in this state is leaving.
LEAVING_BY_STATE = {"ready": False, "draining": True}


def decode(name: str, entry_value: bytes, *, regions: dict[str, str]) -> upstream.Upstream:
    """Decode an entry.

    Args:
        name: Name under which the upstream is registered.
        entry_value: Value of the entry, which is JSON.
        regions: Region of each availability zone.

    Returns:
        The upstream.

    Raises:
        ValueError: When a field is missing or malformed, or the zone is unknown.
    """
    try:
        data = json.loads(entry_value)
        shutdown_in_ms = data.get("shutdownInMs")
        return upstream.Upstream(
            name=name,
            service=_check_text(data["service"]),
            region=regions[_check_text(data["zone"])],
            zone=data["zone"],
            address=_check_address(data["address"]),
            slots=_check_whole_number(data["capacity"], minimum=1),
            leaving=LEAVING_BY_STATE[_check_text(data["state"])],
            born_ms=_check_whole_number(data.get("born", 0)),
            sequence=_check_whole_number(data.get("sequence", 0)),
            cold_s=_check_whole_number(data.get("warmupLeftMs", 0)) / 1000,
            leaves_in_s=(
                None if shutdown_in_ms is None else _check_whole_number(shutdown_in_ms) / 1000
            ),
        )
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from error


def _check_text(value: typing.Any) -> str:
    """Return a non-empty string unchanged; raise TypeError for any other value."""
    if type(value) is not str or not value:
        raise TypeError("expected a non-empty string")
    return value


def _check_whole_number(value: typing.Any, *, minimum: int = 0) -> int:
    """Return a number as a whole number; raise TypeError if it is not a number or too small."""
    if type(value) not in (int, float) or value < minimum:
        raise TypeError("expected a number in range")
    return int(value)


def _check_address(value: typing.Any) -> str:
    """Return an address HOST:PORT unchanged; raise TypeError or ValueError for other values."""
    host, _, port = _check_text(value).rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError("expected an address and a port")
    return value
