"""Which events of the catalogue the scenarios caused."""

from __future__ import annotations

import json
import pathlib
import typing

from yuccahitch import events
from yuccahitch.messages import commands

FILE = "events.json"


def in_logs(folder: pathlib.Path) -> set[str]:
    """Return the names of the events in all logs under a folder."""
    found = set()
    for log in folder.rglob("*.log"):
        for line in log.read_text(errors="replace").splitlines():
            if line.startswith("{"):
                found.add(_name(line))
    return found


def in_scenario(context: typing.Any) -> set[str]:
    """Return the names of the events that decisions in virtual time asked to write."""
    fleet = getattr(context, "fleet", None)
    found = {note.event.label for *_, note in fleet.log_events} if fleet is not None else set()
    found |= getattr(context, "caused", set())
    edges = [*getattr(context, "edges", ()), getattr(context, "edge", None)]
    for edge in (item for item in edges if item is not None):
        batch = edge.decisions.take_commands(edge.now)
        found |= {item.event.label for item in batch if type(item) is commands.LogEvent}
    return found


def missing(folder: pathlib.Path) -> list[str]:
    """Return the events of the catalogue that no scenario of the last run caused."""
    seen = set(json.loads((folder / FILE).read_text()))
    return sorted(event.label for event in events.Event if event.label not in seen)


def _name(line: str) -> str:
    try:
        return str(json.loads(line).get("message_type", ""))
    except ValueError:
        return ""
