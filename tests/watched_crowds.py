"""Crowds of callers at running instances, and what the processes take meanwhile."""

from __future__ import annotations

import asyncio

from standins import deployment
from tests import platform_calls, process_usage

# Port of instances on the platform for callers.
FRONT_PORT = 7101
EXAMPLE_ACCOUNT = "sahil-rinks"
# Time within which an ordinary request is answered; a refusal before is allowed, in seconds.
ANSWER_LIMIT_S = 20.0
# Time that a process gets to notice a change, such as a crowd that has gone, in seconds.
SETTLE_S = 3.0


async def send_watched(context, crowd, kind, count, *, send=None):
    """Send as a crowd, or in the way of ``send``, and sample the processes meanwhile."""
    context.crowds = [*getattr(context, "crowds", []), crowd]
    context.closers.append(crowd.close)
    if not hasattr(context, "usages"):
        context.usages = {
            name: process_usage.Usage(process.pid) for name, process in context.processes.items()
        }
    watchers = [asyncio.ensure_future(usage.watch()) for usage in context.usages.values()]
    await (send or crowd.send)(kind, count)
    await asyncio.gather(*[usage.settle() for usage in context.usages.values()])
    for watcher in watchers:
        watcher.cancel()
    await asyncio.gather(*watchers, return_exceptions=True)


def leave(context):
    """Close the connections of all crowds, and give the processes time to notice."""
    for crowd in context.crowds:
        platform_calls.run(context, crowd.close())
    platform_calls.run(context, asyncio.sleep(SETTLE_S))


def check_answered(context, ask, status):
    """Ask until a request has the expected status."""
    statuses = []

    async def is_answered():
        statuses.append(await ask())
        return statuses[-1] == status

    try:
        platform_calls.run(context, deployment.wait_until(is_answered, ANSWER_LIMIT_S))
    except TimeoutError as error:
        raise AssertionError(f"the statuses were {statuses}") from error
