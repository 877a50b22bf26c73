"""Steps by which the operator changes what the platform's store holds."""

from __future__ import annotations

import behave

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
