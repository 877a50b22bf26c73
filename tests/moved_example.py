"""Runs some instances of an example deployment at loopback addresses that nothing else uses."""

from __future__ import annotations

import pathlib
import re
import shutil

from standins import deployment

ROOT = pathlib.Path(__file__).parent.parent
# Network of the examples, and the one to which its addresses are moved.
EXAMPLE_NETWORK = re.compile(r"\b127\.12\.")
MOVED_NETWORK = "127.112."


def moved_example(name, instances, run_dir):
    """Return a deployment of some instances of an example, with other addresses.

    Args:
        name: Name of the example.
        instances: Names of its instances that are run.
        run_dir: Folder for its files and logs.
    """
    folder = run_dir / "files"
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    for path in (ROOT / "examples" / name).iterdir():
        if path.suffix != ".ini" or path.stem in instances:
            text = EXAMPLE_NETWORK.sub(MOVED_NETWORK, path.read_text())
            (folder / path.name).write_text(text)
    return deployment.Deployment(folder, run_dir)


async def start(example):
    """Start the stand-ins and instances, and wait until all have the resources."""
    await example.start_standins()
    await example.start_all()
    await example.wait_until_discovered()
    await example.apply(next(iter(example.settings)))
    await example.wait_until_synchronized()
