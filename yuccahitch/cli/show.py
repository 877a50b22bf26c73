"""The command that merges the logs of all processes into one time line."""

from __future__ import annotations

import heapq
import html
import itertools
import json
import pathlib
import typing

import click

from yuccahitch import records

NON_FIELD_KEYS = frozenset(
    ("instance", "stamp", "number", "message_type", "task_uuid", "task_level", "timestamp")
)
STYLE = """
body { font: 13px monospace; margin: 1em } table { border-collapse: collapse }
td, th { padding: 2px 8px; border-bottom: 1px solid #ddd; text-align: left; vertical-align: top }
"""


class LogLine(records.Record):
    """One event of one process.

    Attributes:
        stamp: Its hybrid logical time, in microseconds.
        instance: The process.
        number: Number of the event.
        name: Name of the event.
        fields: The other fields.
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
        """Return the line as text, its time, or another one, relative to the first event."""
        fields_text = " ".join(f"{name}={value}" for name, value in self.fields.items())
        seconds = ((self.stamp if stamp is None else stamp) - start_stamp) / 1e6
        return f"{seconds:12.6f}  {self.instance:<24} {self.number} {self.name:<20} {fields_text}"


def read_log(path: pathlib.Path) -> list[LogLine]:
    """Return the events of one log file in their order; other lines are passed over."""
    with path.open(encoding="utf-8") as file:
        return sorted(filter(None, map(_parse_line, file)))


def _parse_line(raw_line: str) -> LogLine | None:
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
@click.option("--request", default="", help="Only the events of one request id.")
@click.option("--html", "page", type=click.Path(path_type=pathlib.Path), help="Write a page.")
def timeline(logs: tuple[pathlib.Path, ...], request: str, page: pathlib.Path | None) -> None:
    """Merge LOGS of several processes into one time line."""
    merged = heapq.merge(*map(read_log, logs))
    lines = [line for line in merged if not request or line.fields.get("request") == request]
    if page is not None:
        page.write_text(_render_page(lines), encoding="utf-8")
        click.echo(f"{len(lines)} events in {page}")
        return
    start_stamp = lines[0].stamp if lines else 0
    for line in lines:
        click.echo(line.format(start_stamp))


def _render_page(lines: list[LogLine]) -> str:
    start_stamp = lines[0].stamp if lines else 0
    instances = sorted({line.instance for line in lines})
    colours = dict(zip(instances, itertools.count(0, 47), strict=False))
    rows = "\n".join(_render_row(line, start_stamp, colours[line.instance]) for line in lines)
    return (
        f"<!doctype html><meta charset=utf-8><title>Time line</title><style>{STYLE}</style>"
        "<table><tr><th>seconds<th>instance<th>event<th>fields</tr>\n"
        f"{rows}\n</table>"
    )


def _render_row(line: LogLine, start_stamp: int, hue: int) -> str:
    fields_text = html.escape(" ".join(f"{name}={value}" for name, value in line.fields.items()))
    return (
        f'<tr style="background:hsl({hue % 360} 60% 95%)">'
        f"<td>{(line.stamp - start_stamp) / 1e6:.6f}<td>{html.escape(line.instance)}"
        f"<td>{line.number} {html.escape(line.name)}<td>{fields_text}</tr>"
    )
