"""Steps about routes by host and path of the own interface."""

from __future__ import annotations

import behave

from tests import builders
from yuccahitch import errors
from yuccahitch.codecs import resources
from yuccahitch.messages import answers, requests
from yuccahitch.resources import route

HOSTED = "hall.example"


def hosted(context, *routes, services=("desk-a",)):
    """Make a fleet of one instance with hosted routes."""
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
    context.sent = []
    context.fleet = builders.a_fleet(
        regions=("muscat-a",), per_region=1, specs=specs, serve=lambda *call: note(context, *call)
    )


def note(context, fleet, instance, work, report):
    now = instance.local_time(fleet.now)
    context.sent.append((work.upstream, work.priority, work.request.deadline - now))
    if context.fails:
        error = errors.GatewayError(
            errors.Code.UPSTREAM_REFUSED, step="upstream", peer=work.upstream
        )
        fleet.clock.schedule_after(0.01, lambda: report("failed", error=error))
    else:
        fleet.clock.schedule_after(0.01, lambda: report("head"))
        fleet.clock.schedule_after(0.02, lambda: report("end", usage=answers.Usage()))


def ask(context, path, host=HOSTED):
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
def step_prefixes(context, first, second, third):
    context.fails = False
    prefixes = (first, second, third)
    names = {prefix: f"desk-{place}" for place, prefix in enumerate(prefixes)}
    context.names = {name: prefix for prefix, name in names.items()}
    routes = [
        builders.a_hosted_route(name, prefix=prefix, service=name) for prefix, name in names.items()
    ]
    hosted(context, *routes, services=tuple(names.values()))


@behave.when("a request for {path} of {host} comes in")
def step_path(context, path, host):
    context.result = ask(context, path, host)
    context.fleet.run(1.0)


@behave.then("its route is {name}")
def step_route(context, name):
    if name == "unknown":
        assert context.result.error.code is errors.Code.ROUTE_UNKNOWN
    else:
        upstream = context.result.upstreams[0]
        assert context.names[upstream.rpartition("-")[0]] == name, upstream


@behave.given("a route of hall.example shared {first:d} to {second:d} by desk-a and desk-b")
def step_shared(context, first, second):
    context.fails = False
    shared = builders.a_hosted_route(service="", backends=(("desk-a", first), ("desk-b", second)))
    hosted(context, shared, services=("desk-a", "desk-b"))


@behave.when("{count:d} requests for it come in")
def step_many(context, count):
    for _ in range(count):
        ask(context, "/x")
        context.fleet.run(0.05)


@behave.then("desk-a gets from {least:d} to {most:d} of them, and desk-b the rest")
def step_weights(context, least, most):
    first = sum(name.startswith("desk-a") for name, *_ in context.sent)
    assert len(context.sent) == 400, len(context.sent)
    assert least <= first <= most, first


@behave.given("a route of hall.example with {field} {value:d}")
def step_field(context, field, value):
    context.fails = True
    hosted(context, builders.a_hosted_route(**{field: value}))


@behave.when("its request fails at every upstream")
def step_fails(context):
    context.result = ask(context, "/x")
    context.fleet.run(5.0)


@behave.then("it was sent {sends:d} times with rank {rank:d} and at most {left:d} seconds left")
def step_sends(context, sends, rank, left):
    assert len(context.sent) == sends, context.sent
    assert all(found == rank for _, found, _ in context.sent), context.sent
    assert all(seconds <= left for *_, seconds in context.sent), context.sent


FAULTY = {
    "target, host and prefix": {"target": "x", "host": HOSTED, "prefix": "/", "service": "s"},
    "host and no prefix": {"host": HOSTED, "service": "s"},
    "neither target nor host": {"service": "s"},
    "service and backends": {
        "target": "x",
        "service": "s",
        "backends": [{"service": "s", "weight": 1}],
    },
    "a prefix without its last slash": {"host": HOSTED, "prefix": "/ice", "service": "s"},
    "backends of weight 0": {
        "host": HOSTED,
        "prefix": "/",
        "backends": [{"service": "s", "weight": 0}],
    },
}


@behave.when("an operator's route has {fields}")
def step_faulty(context, fields):
    try:
        resources.spec_from_dict("route", {"name": "r", **FAULTY[fields]})
    except errors.GatewayError as error:
        context.error = error
    else:
        context.error = None


@behave.then("it is refused for {reason}")
def step_refused_for(context, reason):
    assert context.error is not None
    assert context.error.code is errors.Code.RESOURCE_INVALID
    assert reason in context.error.detail, context.error.detail


@behave.when("an operator writes a route by host and path shared by two services")
def step_written(context):
    context.route = builders.a_hosted_route(
        service="", backends=(("desk-a", 2), ("desk-b", 1)), attempts=2, timeout_s=1.5, priority=3
    )


@behave.then("reading it from its bytes gives the same route")
def step_read_back(context):
    found = resources.spec_from_bytes("route", resources.spec_to_bytes(context.route))
    assert type(found) is route.Route
    assert found.as_dict() == context.route.as_dict(), found.as_dict()
