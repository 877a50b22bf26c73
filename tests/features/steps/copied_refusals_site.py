"""Steps about an upstream that writes refusals again, before the instances of a whole site."""

from __future__ import annotations

import asyncio

import aiohttp
import behave

from standins import copying_upstream, platform_site
from tests import copied_answers, forwarding_pair, platform_builders, platform_calls

# Time in which instances hear of a changed entry, in seconds.
HEARD_S = 0.6
DESK_UPSTREAMS = tuple(name for name, spec in platform_site.UPSTREAMS.items() if spec[0] == "desk")


@behave.given(
    "a desk upstream of {zone} that writes its refusals again while the next request runs"
)
def step_start_beside_site(context, zone):
    context.upstream = copying_upstream.CopyingUpstream(
        [copied_answers.NEW],
        copies=1,
        moment=copying_upstream.WHILE_RUNNING,
        refusal_s=1.5 * HEARD_S,
        work_s=2 * HEARD_S,
    )
    (port,) = forwarding_pair.free_ports(1)
    context.entry = {"service": "desk", "zone": zone, "address": f"127.0.0.1:{port}"}
    context.closers = [context.upstream.close]

    async def work():
        await context.upstream.start(port)
        for name in DESK_UPSTREAMS:
            await context.site.register_upstream(name, state="draining")
        await register(context, copied_answers.OLD)
        await asyncio.sleep(HEARD_S)

    platform_calls.run(context, work())


async def register(context, name):
    """Write the entry of the upstream by one of its names."""
    await context.site.write_item(
        f"servers/{name}", platform_builders.a_registration(**context.entry)
    )


@behave.when(
    "an order goes to {instance} while that upstream comes back under a new name, before others"
)
def step_order_beside_site(context, instance):
    async def work():
        async with aiohttp.ClientSession() as session:
            task = asyncio.ensure_future(
                platform_calls.send(session, instance, "POST", "/book/x", body=b"x")
            )
            await forwarding_pair.wait_for(lambda: context.upstream.received)
            await register(context, copied_answers.NEW)
            await forwarding_pair.wait_for(lambda: len(context.upstream.received) > 1)
            for name in DESK_UPSTREAMS:
                await context.site.register_upstream(name)
            context.replies = [await task]
        for name in (copied_answers.OLD, copied_answers.NEW):
            await context.site.write_item(f"servers/{name}", None)

    platform_calls.run(context, work())


@behave.then("the order ran at that upstream only, and its answer is the caller's")
def step_check_site_runs(context):
    (reply,) = context.replies
    elsewhere = [item for item in platform_calls.seen_requests(context) if item["ran"]]
    assert len(context.upstream.runs(reply.id)) == 1, context.upstream.received
    assert not elsewhere, elsewhere
    assert (reply.status, reply.body.decode()) == (200, f"done {reply.id}"), reply.body
