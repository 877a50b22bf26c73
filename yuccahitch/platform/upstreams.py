"""Reads the entries by which upstreams register themselves."""

from __future__ import annotations

import json
import typing

from yuccahitch.resources import upstream

STATES = {"ready": False, "draining": True}


def decode(name: str, raw: bytes, *, regions: dict[str, str]) -> upstream.Upstream:
    """Read an entry.

    Args:
        name: The upstream's id, by which it is registered.
        raw: Its value.
        regions: Region of each availability zone.

    Returns:
        The upstream.

    Raises:
        ValueError: When the entry names no upstream that can be used.
    """
    try:
        data = json.loads(raw)
        leaves_ms = data.get("shutdownInMs")
        return upstream.Upstream(
            name=name,
            service=_text(data["service"]),
            region=regions[_text(data["zone"])],
            zone=data["zone"],
            address=_address(data["address"]),
            slots=_whole(data["capacity"], least=1),
            leaving=STATES[_text(data["state"])],
            born_ms=_whole(data.get("born", 0)),
            cold_s=_whole(data.get("warmupLeftMs", 0)) / 1000,
            leaves_in_s=None if leaves_ms is None else _whole(leaves_ms) / 1000,
        )
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from error


def _text(value: typing.Any) -> str:
    if type(value) is not str or not value:
        raise TypeError("not a text")
    return value


def _whole(value: typing.Any, *, least: int = 0) -> int:
    if type(value) not in (int, float) or value < least:
        raise TypeError("not a number in range")
    return int(value)


def _address(value: typing.Any) -> str:
    host, _, port = _text(value).rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError("not an address and port")
    return value
