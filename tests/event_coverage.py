"""Records which events of the catalogue were logged while the scenarios ran."""

from __future__ import annotations

import itertools
import json
import os
import pathlib
import typing

from yuccahitch import events
from yuccahitch.messages import commands

ROOT = pathlib.Path(__file__).parent.parent
EVENTS_FILE = "events.json"
# Environment variable with the folder that a run of features writes to.
RUN_DIR_VARIABLE = "YUCCAHITCH_TEST_RUN_DIR"


def run_dir() -> pathlib.Path:
    """Return the folder that the run of features in this process writes to."""
    return pathlib.Path(os.environ.get(RUN_DIR_VARIABLE, ROOT / ".run"))


def events_in_logs(folder: pathlib.Path) -> set[str]:
    """Return the names of the events in all log files below a folder."""
    labels = set()
    for log in folder.rglob("*.log"):
        for line in log.read_text(errors="replace").splitlines():
            if line.startswith("{"):
                labels.add(_event_name(line))
    return labels


def events_in_scenario(context: typing.Any) -> set[str]:
    """Return the names of the events that a scenario in virtual time logged.

    They come from the fleet, from ``caused_events`` of the scenario's context, and from the
    commands that still wait in its instances.
    """
    fleet = getattr(context, "fleet", None)
    labels = (
        {log_event.event.label for *_, log_event in fleet.log_events}
        if fleet is not None
        else set()
    )
    labels |= getattr(context, "caused_events", set())
    edges = [*getattr(context, "edges", ()), getattr(context, "edge", None)]
    for edge in (item for item in edges if item is not None):
        pending = edge.decisions.take_commands(edge.now)
        labels |= {item.event.label for item in pending if type(item) is commands.LogEvent}
    return labels


def uncaused_events(folders: list[pathlib.Path]) -> list[str]:
    """Return the events of the catalogue that no part of the last run logged."""
    files = [folder / EVENTS_FILE for folder in folders]
    caused = set(
        itertools.chain.from_iterable(json.loads(f.read_text()) for f in files if f.exists())
    )
    return sorted(event.label for event in events.Event if event.label not in caused)


def _event_name(line: str) -> str:
    try:
        return str(json.loads(line).get("message_type", ""))
    except ValueError:
        return ""
