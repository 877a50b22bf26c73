"""Commands that run an instance and check its settings."""

from __future__ import annotations

import pathlib
import sys

import click

from yuccahitch import settings as config_file
from yuccahitch.tasks import process

BAD_SETTINGS = 2


@click.command()
@click.argument("settings", type=click.Path(path_type=pathlib.Path))
def serve(settings: pathlib.Path) -> None:
    """Run one instance with the SETTINGS file until SIGTERM, then shut down gracefully."""
    process.serve(_load(settings))


@click.command()
@click.argument("settings", type=click.Path(path_type=pathlib.Path))
def check(settings: pathlib.Path) -> None:
    """Check the SETTINGS file and report every mistake at once."""
    loaded = _load(settings)
    click.echo(f"{settings}: no mistakes; instance {loaded.instance.name}")


def _load(path: pathlib.Path) -> config_file.Settings:
    try:
        return config_file.load(path)
    except config_file.SettingsError as error:
        for mistake in error.mistakes:
            click.echo(str(mistake), err=True)
        sys.exit(BAD_SETTINGS)
