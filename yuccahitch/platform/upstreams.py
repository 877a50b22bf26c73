"""Decodes the entries that upstreams register in the store."""

from __future__ import annotations

import ipaddress
import json
import typing

from yuccahitch.messages import upstream_notices
from yuccahitch.platform import names
from yuccahitch.resources import upstream

# Whether an upstream in this state is leaving.
LEAVING_BY_STATE = {"ready": False, "draining": True}
# Longest text and largest numbers of a usable entry; milliseconds since 1970 are far below.
MAX_TEXT_LENGTH = 200
MAX_SLOTS = 1_000_000
MAX_NUMBER = 2**53
MAX_PORT = 65535
OK_STATUS = 200
REPORT_PATH = names.UPSTREAM_REPORT_PATH
# What reading an entry that another writer left may raise.
READ_ERRORS = (KeyError, TypeError, AttributeError, ValueError, ArithmeticError, RecursionError)


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
            name=_check_name(name),
            service=_check_text(data["service"]),
            region=regions[_check_text(data["zone"])],
            zone=data["zone"],
            address=_check_address(data["address"]),
            slots=_check_whole_number(data["capacity"], minimum=1, maximum=MAX_SLOTS),
            leaving=LEAVING_BY_STATE[_check_text(data["state"])],
            born_ms=_check_whole_number(data.get("born", 0)),
            sequence=_check_whole_number(data.get("sequence", 0)),
            software_version=_check_version(data.get("version", "")),
            cold_s=_check_whole_number(data.get("warmupLeftMs", 0)) / 1000,
            leaves_in_s=(
                None if shutdown_in_ms is None else _check_whole_number(shutdown_in_ms) / 1000
            ),
        )
    except READ_ERRORS as error:
        raise ValueError(f"{type(error).__name__}: {error}") from error


def report_headers(address: str) -> list[tuple[str, str]]:
    """Return the headers of a request for the report of the upstream at an address."""
    return [("host", address)]


def is_report(status: int) -> bool:
    """Return whether an answer with a status is a report."""
    return status == OK_STATUS


def decode_report(status: int, body: bytes) -> int:
    """Return when an upstream started, by its report.

    Args:
        status: HTTP status of the report.
        body: Body of the report, which should be JSON.

    Returns:
        Milliseconds since the Unix epoch, or 0 if the report doesn't tell.
    """
    if not is_report(status):
        return 0
    try:
        return _check_whole_number(json.loads(body)["born"])
    except READ_ERRORS:
        return 0


def decode_memory(status: int, body: bytes) -> upstream_notices.MemoryReport | None:
    """Return what the report of an upstream says of its memory, or None if it says nothing usable.

    Args:
        status: HTTP status of the report.
        body: Body of the report, which should be JSON.
    """
    if not is_report(status):
        return None
    try:
        data = json.loads(body)
        return upstream_notices.MemoryReport(
            total_tokens=_check_whole_number(data["kvTotal"], minimum=1),
            used_tokens=_check_whole_number(data["kvUsed"]),
        )
    except READ_ERRORS:
        return None


def _check_name(name: str) -> str:
    """Return a name that can stand in a header unchanged; raise ValueError for any other one."""
    if not name or not name.isascii() or not name.isprintable() or " " in name:
        raise ValueError("expected a name of printable characters")
    return name


def _check_text(value: typing.Any) -> str:
    """Return a short, non-empty string unchanged; raise TypeError or ValueError for others."""
    if type(value) is not str or not 0 < len(value) <= MAX_TEXT_LENGTH:
        raise TypeError("expected a short, non-empty string")
    value.encode()
    return value


def _check_version(value: typing.Any) -> str:
    """Return a version, which may be empty, unchanged; raise TypeError or ValueError for others."""
    return value if value == "" else _check_text(value)


def _check_whole_number(value: typing.Any, *, minimum: int = 0, maximum: int = MAX_NUMBER) -> int:
    """Return a number as a whole number; raise TypeError if it is not a number in range."""
    if type(value) not in (int, float) or not minimum <= value <= maximum:
        raise TypeError("expected a number in range")
    return int(value)


def _check_address(value: typing.Any) -> str:
    """Return an address IP:PORT unchanged; raise TypeError or ValueError for other values."""
    host, _, port = _check_text(value).rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError("expected a port")
    return value
