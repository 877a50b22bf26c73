"""Commands that run an instance or check its settings: serve, check and edge."""

from __future__ import annotations

import pathlib
import sys
import typing

import click

from yuccahitch import settings as config_file
from yuccahitch.tasks import edge_process, process

# Exit code when the settings file has mistakes.
EXIT_INVALID_SETTINGS = 2


@click.command()
@click.argument("settings", type=click.Path(path_type=pathlib.Path))
def serve(settings: pathlib.Path) -> None:
    """Run an instance with the SETTINGS file until SIGTERM, then shut down gracefully."""
    process.serve(_load_or_exit(settings))


@click.command()
@click.argument("settings", type=click.Path(path_type=pathlib.Path))
def check(settings: pathlib.Path) -> None:
    """Check the SETTINGS file and report all mistakes at once."""
    loaded_settings = _load_or_exit(settings)
    click.echo(f"{settings}: no mistakes; instance {loaded_settings.instance.name}")


@click.command()
@click.argument(
    "settings",
    envvar="YUCCAHITCH_SETTINGS",
    type=click.Path(path_type=pathlib.Path),
)
@click.option("--check", "only_check", is_flag=True, help="Check the settings and exit.")
def edge(settings: pathlib.Path, only_check: bool) -> None:
    """Run an instance on the users' platform with the SETTINGS file until SIGTERM."""
    loaded_settings = _load_or_exit(settings, config_file.load_edge)
    if only_check:
        click.echo(f"{settings}: no mistakes; instance {loaded_settings.instance.name}")
        return
    edge_process.serve(loaded_settings, settings)


def _load_or_exit(
    path: pathlib.Path, loader: typing.Callable[[pathlib.Path], typing.Any] = config_file.load
) -> typing.Any:
    """Return the settings in a file; if it has mistakes, print them and exit.

    Args:
        path: The settings file.
        loader: Reads and checks the file, ``settings.load`` or ``settings.load_edge``.
    """
    try:
        return loader(path)
    except config_file.SettingsError as error:
        for mistake in error.mistakes:
            click.echo(str(mistake), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
