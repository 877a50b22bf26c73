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

HIDDEN = frozenset(
    ("instance", "stamp", "number", "message_type", "task_uuid", "task_level", "timestamp")
)
STYLE = """
body { font: 13px monospace; margin: 1em } table { border-collapse: collapse }
td, th { padding: 2px 8px; border-bottom: 1px solid #ddd; text-align: left; vertical-align: top }
"""


class Line(records.Record):
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

    def __lt__(self, other: Line) -> bool:
        return (self.stamp, self.instance) < (other.stamp, other.instance)

    def text(self, began: int, *, stamp: int | None = None) -> str:
        """Return the line as text, its time, or another one, relative to the first event."""
        told = " ".join(f"{name}={value}" for name, value in self.fields.items())
        seconds = ((self.stamp if stamp is None else stamp) - began) / 1e6
        return f"{seconds:12.6f}  {self.instance:<24} {self.number} {self.name:<20} {told}"


def read(path: pathlib.Path) -> list[Line]:
    """Return the events of one log file in their order; other lines are passed over."""
    with path.open(encoding="utf-8") as file:
        return sorted(filter(None, map(_parse, file)))


def _parse(text: str) -> Line | None:
    try:
        data = json.loads(text)
        return Line(
            stamp=data["stamp"],
            instance=data["instance"],
            number=data["number"],
            name=data["message_type"],
            fields={name: value for name, value in data.items() if name not in HIDDEN},
        )
    except (ValueError, KeyError, TypeError):
        return None


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path))
@click.option("--request", default="", help="Only the events of one request id.")
@click.option("--html", "page", type=click.Path(path_type=pathlib.Path), help="Write a page.")
def timeline(logs: tuple[pathlib.Path, ...], request: str, page: pathlib.Path | None) -> None:
    """Merge LOGS of several processes into one time line."""
    merged = heapq.merge(*map(read, logs))
    lines = [line for line in merged if not request or line.fields.get("request") == request]
    if page is not None:
        page.write_text(_page(lines), encoding="utf-8")
        click.echo(f"{len(lines)} events in {page}")
        return
    began = lines[0].stamp if lines else 0
    for line in lines:
        click.echo(line.text(began))


def _page(lines: list[Line]) -> str:
    began = lines[0].stamp if lines else 0
    instances = sorted({line.instance for line in lines})
    colours = dict(zip(instances, itertools.count(0, 47), strict=False))
    rows = "\n".join(_row(line, began, colours[line.instance]) for line in lines)
    return (
        f"<!doctype html><meta charset=utf-8><title>Time line</title><style>{STYLE}</style>"
        "<table><tr><th>seconds<th>instance<th>event<th>fields</tr>\n"
        f"{rows}\n</table>"
    )


def _row(line: Line, began: int, hue: int) -> str:
    told = html.escape(" ".join(f"{name}={value}" for name, value in line.fields.items()))
    return (
        f'<tr style="background:hsl({hue % 360} 60% 95%)"><td>{(line.stamp - began) / 1e6:.6f}'
        f"<td>{html.escape(line.instance)}<td>{line.number} {html.escape(line.name)}<td>{told}</tr>"
    )
