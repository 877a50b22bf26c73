"""Steps for routes by host and path on the own interface."""

from __future__ import annotations

import behave

from tests import builders
from yuccahitch import errors
from yuccahitch.codecs import resources
from yuccahitch.messages import answers, requests
from yuccahitch.resources import route

ROUTE_HOST = "hall.example"


def start_fleet(context, *routes, services=("desk-a",)):
    """Start a fleet of one instance with routes by host and path."""
    specs = [
        builders.an_account(),
        builders.a_key(),
        builders.a_rate(tokens_per_s=1e6, burst_tokens=1e6),
        *(builders.a_service(name, kind="plain") for name in services),
        *routes,
        *(
            builders.an_upstream(f"{name}-{number}", service=name)
            for name in services
            for number in range(4)
        ),
    ]
    context.attempts_made = []
    context.fleet = builders.a_fleet(
        regions=("muscat-a",),
        per_region=1,
        specs=specs,
        serve=lambda *serve_args: serve_call(context, *serve_args),
    )


def serve_call(context, fleet, instance, work, report):
    """Record an attempt at an upstream, then report its answer or its refusal."""
    now = instance.local_time(fleet.now)
    context.attempts_made.append((work.upstream, work.priority, work.request.deadline - now))
    if context.upstreams_fail:
        error = errors.GatewayError(
            errors.Code.UPSTREAM_REFUSED, step="upstream", peer=work.upstream
        )
        fleet.clock.schedule_after(0.01, lambda: report("failed", error=error))
    else:
        fleet.clock.schedule_after(0.01, lambda: report("head"))
        fleet.clock.schedule_after(0.02, lambda: report("end", usage=answers.Usage()))


def send_call(context, path, host=ROUTE_HOST):
    """Send a plain call with a deadline of 30 s through the only instance."""
    instance = context.fleet.alive()[0]
    deadline = instance.local_time(context.fleet.now) + 30.0
    request = builders.a_request(
        kind=requests.CALL,
        target=host,
        method="GET",
        path=path,
        prompt_tokens=0,
        max_tokens=0,
        deadline=deadline,
    )
    return context.fleet.request(instance, request)


@behave.given("routes of hall.example with prefixes {first} and {second} and {third}")
def step_routes_with_prefixes(context, first, second, third):
    context.upstreams_fail = False
    prefixes = (first, second, third)
    service_by_prefix = {prefix: f"desk-{index}" for index, prefix in enumerate(prefixes)}
    context.prefix_by_service = {name: prefix for prefix, name in service_by_prefix.items()}
    routes = [
        builders.a_hosted_route(name, prefix=prefix, service=name)
        for prefix, name in service_by_prefix.items()
    ]
    start_fleet(context, *routes, services=tuple(service_by_prefix.values()))


@behave.when("a request for {path} of {host} comes in")
def step_call_path(context, path, host):
    context.result = send_call(context, path, host)
    context.fleet.run(1.0)


@behave.then("its route is {expected_prefix}")
def step_matched_route(context, expected_prefix):
    if expected_prefix == "unknown":
        assert context.result.error.code is errors.Code.ROUTE_UNKNOWN
    else:
        upstream = context.result.upstreams[0]
        assert context.prefix_by_service[upstream.rpartition("-")[0]] == expected_prefix, upstream


@behave.given("a route of hall.example shared {first:d} to {second:d} by desk-a and desk-b")
def step_weighted_route(context, first, second):
    context.upstreams_fail = False
    weighted_route = builders.a_hosted_route(
        service="", backends=(("desk-a", first), ("desk-b", second))
    )
    start_fleet(context, weighted_route, services=("desk-a", "desk-b"))


@behave.when("{count:d} requests for it come in")
def step_send_calls(context, count):
    for _ in range(count):
        send_call(context, "/x")
        context.fleet.run(0.05)


@behave.then("desk-a gets from {least:d} to {most:d} of them, and desk-b the rest")
def step_calls_by_weight(context, least, most):
    desk_a_count = sum(name.startswith("desk-a") for name, *_ in context.attempts_made)
    assert len(context.attempts_made) == 400, len(context.attempts_made)
    assert least <= desk_a_count <= most, desk_a_count


@behave.given("a route of hall.example with {option} {value:d}")
def step_route_with_option(context, option, value):
    context.upstreams_fail = True
    start_fleet(context, builders.a_hosted_route(**{option: value}))


@behave.when("its request fails at every upstream")
def step_call_with_failing_upstreams(context):
    context.result = send_call(context, "/x")
    context.fleet.run(5.0)


@behave.then(
    "it was sent {attempt_count:d} times with priority {rank:d}"
    " and at most {limit_s:d} seconds left"
)
def step_attempts(context, attempt_count, rank, limit_s):
    assert len(context.attempts_made) == attempt_count, context.attempts_made
    assert all(
        attempt_priority == rank for _, attempt_priority, _ in context.attempts_made
    ), context.attempts_made
    assert all(
        seconds_left <= limit_s for *_, seconds_left in context.attempts_made
    ), context.attempts_made


INVALID_ROUTES = {
    "target, host and prefix": {"target": "x", "host": ROUTE_HOST, "prefix": "/", "service": "s"},
    "host and no prefix": {"host": ROUTE_HOST, "service": "s"},
    "neither target nor host": {"service": "s"},
    "service and backends": {
        "target": "x",
        "service": "s",
        "backends": [{"service": "s", "weight": 1}],
    },
    "a prefix without its last slash": {"host": ROUTE_HOST, "prefix": "/ice", "service": "s"},
    "backends of weight 0": {
        "host": ROUTE_HOST,
        "prefix": "/",
        "backends": [{"service": "s", "weight": 0}],
    },
}


@behave.when("an operator's route has {fields}")
def step_decode_invalid_route(context, fields):
    try:
        resources.spec_from_dict("route", {"name": "r", **INVALID_ROUTES[fields]})
    except errors.GatewayError as error:
        context.error = error
    else:
        context.error = None


@behave.then("it is refused for {reason}")
def step_route_refused(context, reason):
    assert context.error is not None
    assert context.error.code is errors.Code.RESOURCE_INVALID
    assert reason in context.error.detail, context.error.detail


@behave.when("an operator writes a route by host and path shared by two services")
def step_write_weighted_route(context):
    context.route = builders.a_hosted_route(
        service="", backends=(("desk-a", 2), ("desk-b", 1)), attempts=2, timeout_s=1.5, priority=3
    )


@behave.then("decoding it from its bytes gives the same route")
def step_route_round_trip(context):
    decoded_route = resources.spec_from_bytes("route", resources.spec_to_bytes(context.route))
    assert type(decoded_route) is route.Route
    assert decoded_route.as_dict() == context.route.as_dict(), decoded_route.as_dict()
