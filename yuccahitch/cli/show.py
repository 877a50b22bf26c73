"""The ``timeline`` command: merges the logs of several processes in the order of their stamps."""

from __future__ import annotations

import heapq
import html
import itertools
import json
import pathlib
import typing

import click

from yuccahitch import records

# Keys of a log line that are shown in columns of their own or not at all.
NON_FIELD_KEYS = frozenset(
    ("instance", "stamp", "number", "message_type", "task_uuid", "task_level", "timestamp")
)
STYLE = """
body { font: 13px monospace; margin: 1em } table { border-collapse: collapse }
td, th { padding: 2px 8px; border-bottom: 1px solid #ddd; text-align: left; vertical-align: top }
"""


class LogLine(records.Record):
    """One logged event.

    Attributes:
        stamp: Hybrid logical time of the event, in microseconds since the Unix epoch.
        instance: Id of the instance that logged the event.
        number: Number of the event type, such as 203.
        name: Name of the event type, such as ``request-ended``.
        fields: The other fields of the event.
    """

    __slots__ = ("stamp", "instance", "number", "name", "fields")

    def __init__(
        self, *, stamp: int, instance: str, number: int, name: str, fields: dict[str, typing.Any]
    ) -> None:
        self.stamp = stamp
        self.instance = instance
        self.number = number
        self.name = name
        self.fields = fields

    def __lt__(self, other: LogLine) -> bool:
        return (self.stamp, self.instance) < (other.stamp, other.instance)

    def format(self, start_stamp: int, *, stamp: int | None = None) -> str:
        """Return the event as a line of text.

        Args:
            start_stamp: Stamp from which the printed time counts, in microseconds.
            stamp: Stamp to print instead of the event's own, in microseconds.
        """
        fields_text = " ".join(f"{name}={value}" for name, value in self.fields.items())
        seconds = ((self.stamp if stamp is None else stamp) - start_stamp) / 1e6
        return f"{seconds:12.6f}  {self.instance:<24} {self.number} {self.name:<20} {fields_text}"


def read_log(path: pathlib.Path) -> list[LogLine]:
    """Return the events of a log file in the order of their stamps; other lines are skipped."""
    with path.open(encoding="utf-8") as file:
        return sorted(filter(None, map(_parse_line, file)))


def _parse_line(raw_line: str) -> LogLine | None:
    """Return the event in a line of a log file, or None when the line is not an event."""
    try:
        data = json.loads(raw_line)
        return LogLine(
            stamp=data["stamp"],
            instance=data["instance"],
            number=data["number"],
            name=data["message_type"],
            fields={name: value for name, value in data.items() if name not in NON_FIELD_KEYS},
        )
    except (ValueError, KeyError, TypeError):
        return None


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path))
@click.option("--request", default="", help="Show only the events of this request id.")
@click.option(
    "--html",
    "page",
    type=click.Path(path_type=pathlib.Path),
    help="Write an HTML page to this file.",
)
def timeline(logs: tuple[pathlib.Path, ...], request: str, page: pathlib.Path | None) -> None:
    """Merge the LOGS of several processes into one timeline."""
    merged = heapq.merge(*map(read_log, logs))
    lines = [line for line in merged if not request or line.fields.get("request") == request]
    if page is not None:
        page.write_text(_render_page(lines), encoding="utf-8")
        click.echo(f"{len(lines)} events written to {page}")
        return
    start_stamp = lines[0].stamp if lines else 0
    for line in lines:
        click.echo(line.format(start_stamp))


def _render_page(lines: list[LogLine]) -> str:
    """Return an HTML page with a table row for each event, coloured by instance."""
    start_stamp = lines[0].stamp if lines else 0
    instances = sorted({line.instance for line in lines})
    colours = dict(zip(instances, itertools.count(0, 47), strict=False))
    rows = "\n".join(_render_row(line, start_stamp, colours[line.instance]) for line in lines)
    return (
        f"<!doctype html><meta charset=utf-8><title>Timeline</title><style>{STYLE}</style>"
        "<table><tr><th>seconds<th>instance<th>event<th>fields</tr>\n"
        f"{rows}\n</table>"
    )


def _render_row(line: LogLine, start_stamp: int, hue: int) -> str:
    """Return the HTML table row of an event; ``hue`` is the colour of its instance in degrees."""
    fields_text = html.escape(" ".join(f"{name}={value}" for name, value in line.fields.items()))
    return (
        f'<tr style="background:hsl({hue % 360} 60% 95%)">'
        f"<td>{(line.stamp - start_stamp) / 1e6:.6f}<td>{html.escape(line.instance)}"
        f"<td>{line.number} {html.escape(line.name)}<td>{fields_text}</tr>"
    )
