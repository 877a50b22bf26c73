"""Sets up and tears down what scenarios start."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import traceback

ROOT = pathlib.Path(__file__).parent.parent.parent
sys.path.insert(0, str(ROOT))

from standins import deployment  # noqa: E402
from tests import builders  # noqa: E402

EXAMPLES = ("ice-works", "doors")


def before_all(context) -> None:
    """Make one event loop for all scenarios."""
    os.environ[builders.SECRET_VARIABLE] = builders.SECRET
    context.loop = asyncio.new_event_loop()
    asyncio.set_event_loop(context.loop)


def before_feature(context, feature) -> None:
    """Start the example deployment that a feature is tagged with."""
    context.world = None
    for name in EXAMPLES:
        if "deployment" in feature.tags and name in feature.tags:
            context.world = context.loop.run_until_complete(start(name))
            context.feature_closers = [context.world.close]


async def start(name: str) -> deployment.Deployment:
    """Start an example deployment with its resources."""
    world = deployment.Deployment(ROOT / "examples" / name, ROOT / ".run" / f"test-{name}")
    for log in world.run_dir.glob("*.log"):
        log.unlink()
    try:
        await world.start_standins()
        await world.start_all()
        await world.until_all_known()
        await world.apply(next(iter(world.settings)))
        await world.until_current()
    except BaseException:
        await world.close()
        raise
    return world


def after_scenario(context, scenario) -> None:
    """End what the scenario started."""
    for close in reversed(getattr(context, "closers", [])):
        context.loop.run_until_complete(close())
    context.closers = []


def after_feature(context, feature) -> None:
    """End what the feature started."""
    for close in reversed(getattr(context, "feature_closers", [])):
        context.loop.run_until_complete(close())
    context.feature_closers = []


def after_all(context) -> None:
    """Close the event loop."""
    context.loop.close()


def after_step(context, step) -> None:
    """Show where an unexpected error arose; the report leaves that out."""
    if step.status.name == "error" and step.exception is not None:
        traceback.print_exception(step.exception)
