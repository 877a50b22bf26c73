"""Sets up and tears down what scenarios start."""

from __future__ import annotations

import asyncio
import functools
import itertools
import json
import os
import pathlib
import sys
import traceback

ROOT = pathlib.Path(__file__).parent.parent.parent
sys.path.insert(0, str(ROOT))

from standins import deployment, platform_site  # noqa: E402
from tests import builders, witness  # noqa: E402

EXAMPLES = ("ice-works", "doors")
SETTLE_S = 1.0
RUN = ROOT / ".run"
# Events that scenarios in virtual time caused.
SEEN: set[str] = set()
# Outlives the scenario, unlike what is set on its context.
VERSIONS = itertools.count(1)


def before_all(context) -> None:
    """Make one event loop for all scenarios, and forget the logs of earlier runs."""
    RUN.mkdir(exist_ok=True)
    for log in RUN.rglob("*.log"):
        log.unlink()
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
    if "platform_site" in feature.tags:
        context.site = context.loop.run_until_complete(start_site())
        context.feature_closers = [context.site.close]


def before_scenario(context, scenario) -> None:
    """Bring the platform site back to where nothing is wrong."""
    if "platform_site" in scenario.feature.tags:
        context.loop.run_until_complete(reset_site(context))


async def start_site() -> platform_site.Site:
    """Start the platform's stand-ins and the instances."""
    site = platform_site.Site(ROOT / ".run" / "test-platform")
    for log in site.run_dir.glob("*.log"):
        log.unlink()
    try:
        await site.start_standins()
        await site.write_item("op/config", builders.a_publication(1))
        for name in platform_site.INSTANCE_ZONES:
            await site.start(name)
        await site.wait_until_ready(*platform_site.INSTANCE_ZONES)
    except BaseException:
        await site.close()
        raise
    return site


async def reset_site(context) -> None:
    """Undo faults, entries and configurations of the scenario before."""
    site = context.site
    await site.set_faults("store")
    context.version = next(VERSIONS) * 100
    await site.set_shared_faults()
    document = builders.a_publication(context.version)
    probe = builders.a_published_route("probe", f"/probe-{context.version}/", kind="safe")
    document["routes"].append(probe)
    await site.write_item("op/config", document)
    for name in platform_site.UPSTREAMS:
        await site.set_faults(name)
        await site.write_item(f"servers/{name}", None)
    for zone in platform_site.ZONE_REGIONS:
        await site.write_item(f"op/evacuate/{zone}", None)
    for name in platform_site.UPSTREAMS:
        await site.register_upstream(name)
    await deployment.wait_until(functools.partial(in_force, site, context.version))
    await asyncio.sleep(SETTLE_S)
    context.marks = {
        n: len((await site.received_requests(n))["seen"]) for n in platform_site.UPSTREAMS
    }


async def in_force(site: platform_site.Site, version: int) -> bool:
    """Return whether every running instance serves a configuration's own route."""
    asks = [
        site.request_status(name, f"/probe-{version}/", builders.HOST, builders.PLATFORM_KEY)
        for name in site.processes
    ]
    return set(await asyncio.gather(*asks)) == {200}


async def start(name: str) -> deployment.Deployment:
    """Start an example deployment with its resources."""
    world = deployment.Deployment(ROOT / "examples" / name, ROOT / ".run" / f"test-{name}")
    for log in world.run_dir.glob("*.log"):
        log.unlink()
    try:
        await world.start_standins()
        await world.start_all()
        await world.wait_until_discovered()
        await world.apply(next(iter(world.settings)))
        await world.wait_until_synchronized()
    except BaseException:
        await world.close()
        raise
    return world


def after_scenario(context, scenario) -> None:
    """End what the scenario started, and note the events that it caused."""
    SEEN.update(witness.in_scenario(context))
    for close in reversed(getattr(context, "closers", [])):
        context.loop.run_until_complete(close())
    context.closers = []


def after_feature(context, feature) -> None:
    """End what the feature started."""
    for close in reversed(getattr(context, "feature_closers", [])):
        context.loop.run_until_complete(close())
    context.feature_closers = []


def after_all(context) -> None:
    """Close the event loop, and write which events were caused."""
    seen = sorted(SEEN | witness.in_logs(RUN))
    (RUN / witness.FILE).write_text(json.dumps(seen))
    context.loop.close()


def after_step(context, step) -> None:
    """Show where an unexpected error arose; the report leaves that out."""
    if step.status.name == "error" and step.exception is not None:
        traceback.print_exception(step.exception)
