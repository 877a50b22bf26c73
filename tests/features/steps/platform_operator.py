"""Steps by which the operator changes what the platform's store holds."""

from __future__ import annotations

import asyncio

import behave

from standins import deployment
from tests import platform_builders, platform_calls


@behave.when("version {version:d} drops the route status")
def step_publish_without_status(context, version):
    routes = [r for r in platform_builders.a_publication()["routes"] if r["name"] != "status"]
    platform_calls.publish(context, version, routes=routes)


@behave.when("an older version 2 and a broken one are written")
def step_publish_older(context):
    platform_calls.publish(context, 2)
    platform_calls.run(context, context.site.write_item("op/config", "{"))


@behave.when("version {version:d} withdraws the account's key")
def step_withdraw_key(context, version):
    platform_calls.publish(
        context, version, tenants=[platform_builders.a_published_tenant(apiKeys=["another-key"])]
    )


@behave.given(
    "version {version:d} gives the account {rate:d} tokens a second and a burst of {burst_tokens:d}"
)
def step_publish_rate(context, version, rate, burst_tokens):
    platform_calls.publish(
        context,
        version,
        tenants=[platform_builders.a_published_tenant(ratePerS=rate, burst=burst_tokens)],
    )


@behave.when("the zone {zone} is evacuated")
def step_evacuate_zone(context, zone):
    platform_calls.run(context, context.site.write_item(f"op/evacuate/{zone}", {}))


@behave.when("the zone {zone} is taken back")
def step_take_back_zone(context, zone):
    platform_calls.run(context, context.site.write_item(f"op/evacuate/{zone}", None))


@behave.given("the store keeps a copy of itself before configuration {version:d} is published")
def step_keep_copy(context, version):
    platform_calls.run(context, context.site.call_store("POST", "/admin/keep-copy"))
    platform_calls.publish(context, version)
    platform_calls.run(context, asyncio.sleep(1.0))


@behave.when("the store comes back from its copy and configuration {version:d} adds a route")
def step_restore_store(context, version):
    platform_calls.run(context, context.site.call_store("POST", "/admin/restore"))
    platform_calls.run(context, asyncio.sleep(1.0))
    context.added_path = f"/added-{context.version}/"
    added = platform_builders.a_published_route("added", context.added_path, kind="safe")
    routes = [*platform_builders.a_publication()["routes"], added]
    platform_calls.publish(context, version, routes=routes)


@behave.then("every instance serves that route within {seconds:d} seconds, and the log has {event}")
def step_check_added_route(context, seconds, event):
    async def is_served():
        statuses = await asyncio.gather(
            *(
                context.site.request_status(
                    name, context.added_path, platform_builders.HOST, platform_builders.PLATFORM_KEY
                )
                for name in context.site.processes
            )
        )
        return set(statuses) == {200}

    platform_calls.run(context, deployment.wait_until(is_served, seconds))
    logs = [log.read_text() for log in context.site.run_dir.glob("*.log")]
    assert sum(event in text for text in logs) == len(context.site.processes), event
