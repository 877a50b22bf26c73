"""Command-line interface."""

from __future__ import annotations

import click

import yuccahitch
from yuccahitch.cli import explain, operate, run, show


@click.group()
@click.version_option(yuccahitch.VERSION)
def main() -> None:
    """Run and operate yuccahitch, a multi-region inference gateway."""


for command in (run.serve, run.check, run.edge, *operate.COMMANDS, show.timeline, explain.explain):
    main.add_command(command)
