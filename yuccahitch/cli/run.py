"""Commands that run an instance and check its settings."""

from __future__ import annotations

import pathlib
import sys
import typing

import click

from yuccahitch import settings as config_file
from yuccahitch.tasks import edge_process, process

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


@click.command()
@click.argument(
    "settings",
    envvar="YUCCAHITCH_SETTINGS",
    type=click.Path(path_type=pathlib.Path),
)
@click.option("--check", "only_check", is_flag=True, help="Check the settings only.")
def edge(settings: pathlib.Path, only_check: bool) -> None:
    """Run one instance on the users' platform with the SETTINGS file until SIGTERM."""
    loaded = _load(settings, config_file.load_edge)
    if only_check:
        click.echo(f"{settings}: no mistakes; instance {loaded.instance.name}")
        return
    edge_process.serve(loaded, settings)


def _load(
    path: pathlib.Path, read: typing.Callable[[pathlib.Path], typing.Any] = config_file.load
) -> typing.Any:
    try:
        return read(path)
    except config_file.SettingsError as error:
        for mistake in error.mistakes:
            click.echo(str(mistake), err=True)
        sys.exit(BAD_SETTINGS)
