"""Steps about callers that take streams up."""

from __future__ import annotations

import behave

from tests import platform_builders, stream_builders, stream_simulation
from yuccahitch import errors
from yuccahitch.controllers.versions import stream_origin
from yuccahitch.messages import actions

SHARED_PATH = "/shared/x"
BACKENDS = {"model": "m1", "other": "o1"}


def settle(context, name, outcome):
    """Finish a request that was answered or refused; return where it went."""
    assert outcome is not None
    context.site.edges[name].finish_request(outcome.request_id, succeeded=False)
    return stream_simulation.went_to(outcome)


@behave.when("a stream of v1 breaks off at {name:S}")
def step_break(context, name):
    context.stream = stream_simulation.begin_stream(context.site, name, version="v1")
    context.site.edges[name].finish_request(context.stream, succeeded=False)


@behave.when("a stream of v1 begins at {name:S}")
def step_begin(context, name):
    context.stream = stream_simulation.begin_stream(context.site, name, version="v1")


@behave.then("{name:S} takes that stream up at {version:w} {count:d} times, each time at once")
def step_check_taken(context, name, version, count):
    for _ in range(count):
        outcome = stream_simulation.take_up(context.site, name, context.stream)
        assert settle(context, name, outcome) == version
        context.site.run(0.05)


@behave.when("{name:S} gets {count:d} take-ups of that stream at once")
def step_take_many(context, name, count):
    context.taken_at = context.site.now
    edge = context.site.edges[name]
    for _ in range(count):
        assert stream_simulation.take_up(context.site, name, context.stream) is None
    context.waiting = list(edge.decisions.take_ups.waits)
    assert len(context.waiting) == count


@behave.then("all of them go on at {version:w} after at most {seconds:g} seconds")
def step_check_all(context, version, seconds):
    assert context.site.now - context.taken_at <= seconds + 1e-6
    outcomes = [context.site.outcomes[request_id] for request_id in context.waiting]
    assert {stream_simulation.went_to(outcome) for outcome in outcomes} == {version}


@behave.then("nothing waits at {name:S}")
def step_check_no_wait(context, name):
    assert not context.site.edges[name].decisions.take_ups.waits


@behave.when("a caller takes up a stream at {name:S} that nobody knows")
def step_take_unknown(context, name):
    step_take_unknown_in_time(context, 4000, name)


@behave.when("a caller with {left_ms:d} ms takes up a stream at {name:S} that nobody knows")
def step_take_unknown_in_time(context, left_ms, name):
    headers = {"X-Deadline-Ms": str(left_ms)}
    assert stream_simulation.take_up(context.site, name, "unknown", **headers) is None
    context.taker = name
    context.waiting = list(context.site.edges[name].decisions.take_ups.waits)


@behave.then("it waits")
def step_check_waits(context):
    assert context.waiting[0] not in context.site.outcomes


@behave.then("it is refused with {code:S}, not run, with a time to come back")
def step_check_refused(context, code):
    error = context.site.outcomes[context.waiting[0]].action.error
    assert error.code is errors.BY_WIRE[code] and error.run is errors.RunStatus.NOT_RUN
    assert error.retry_after is not None and error.code.status == 503


@behave.when("that caller leaves")
def step_leave(context):
    context.site.edges[context.taker].finish_request(context.waiting[0], succeeded=False)


def named(what):
    """Return the value of the header that a caller sends."""
    return {
        "an empty text": "",
        "a text of 201 bytes": "x" * 201,
        "a tab": "a\tb",
        "letters beyond ASCII": "é",
    }[what]


@behave.then("a take-up at {name:S} that names no stream goes to {version:w}")
def step_check_unnamed(context, name, version):
    outcome = context.site.edges[name].begin_request(
        stream_builders.STREAM_PATH, **{"Last-Event-Id": "3"}
    )
    assert settle(context, name, outcome) == version


@behave.then("a take-up at {name:S} that names no stream is refused with {code:S} at once")
def step_check_unnamed_refused(context, name, code):
    step_check_unnamed(context, name, code)


@behave.then("a take-up at {name:S} that names {what} is refused with {code:S} at once")
def step_check_malformed(context, name, what, code):
    outcome = stream_simulation.take_up(context.site, name, named(what))
    assert settle(context, name, outcome) == code
    assert outcome.action.error.code.status == 400


@behave.then(
    "{count:d} requests at {name:S} that name that stream and no last event go to {version:w}"
)
def step_check_from_beginning(context, count, name, version):
    for _ in range(count):
        outcome = begin_named(context.site, name, context.stream)
        assert settle(context, name, outcome) == version


@behave.then(
    "a request at {name:S} that names a stream that nobody knows, and no last event, is refused "
    "with {code:S}"
)
def step_check_unknown_from_beginning(context, name, code):
    assert begin_named(context.site, name, "unknown") is None
    context.waiting = list(context.site.edges[name].decisions.take_ups.waits)
    context.site.run(stream_simulation.MAX_WAIT_S)
    step_check_refused(context, code)


@behave.then("a request at {name:S} with an empty name and no last event begins a stream")
def step_check_empty_name(context, name):
    assert settle(context, name, begin_named(context.site, name, "")) in ("v1", "v2")


def begin_named(site, name, stream):
    """Begin a request that names a stream, but no event of it; return the next action."""
    return site.edges[name].begin_request(stream_builders.STREAM_PATH, Resumes=stream)


@behave.then(
    "a take-up at {name:S} of a stream that it doesn't know is refused with {code:S} at once"
)
def step_check_unknown_refused(context, name, code):
    outcome = stream_simulation.take_up(context.site, name, "unknown")
    assert settle(context, name, outcome) == code


@behave.then(
    "a take-up at {name:S} is refused with {code:S} and a time to come back of {seconds:g} seconds"
)
def step_check_time_to_come_back(context, name, code, seconds):
    outcome = stream_simulation.take_up(context.site, name, "unknown")
    assert settle(context, name, outcome) == code
    assert outcome.action.error.retry_after == seconds


@behave.then("no stream of that id is known for another client account")
def step_check_account(context):
    origins = context.site.edges["edge-1"].decisions.origins
    assert origins.find(stream_builders.a_stream_key(context.stream)) is not None
    assert origins.find(stream_origin.stream_key("other", context.stream)) is None


@behave.then("a take-up of that stream at {name:S} is refused with {code:S} at once")
def step_check_gone(context, name, code):
    outcome = stream_simulation.take_up(context.site, name, context.stream)
    assert settle(context, name, outcome) == code
    assert outcome.action.error.retry_after is None


def a_shared_route(version, *names):
    """Return a configuration with a resumable route that some services share."""
    document = platform_builders.a_publication(version)
    route = platform_builders.a_published_route(
        "shared",
        "/shared/",
        kind="streaming",
        resumable=True,
        maxAttempts=2,
        backends=[{"service": name, "weight": 1} for name in names],
    )
    document["routes"].append(route)
    document["services"].append({"name": "other", "healthPath": "/health", "maxConnections": 100})
    return document


@behave.given("an instance with a route that two services share, each with a version of its own")
def step_start_shared(context):
    edge = context.edge = platform_builders.EdgeUnderTest()
    edge.publish(a_shared_route(1, *BACKENDS))
    edge.mark_store_read()
    for service, name in BACKENDS.items():
        edge.register_upstream(name, service=service, version=f"{service}-1", capacity=1000)


def begin_and_break(edge, count):
    """Begin streams on the shared route and break them off; return the upstream of each by id."""
    upstreams = {}
    for _ in range(count):
        outcome = edge.begin_request(SHARED_PATH)
        work = outcome.action.work
        head = stream_builders.a_head(outcome.request_id, work.software_version)
        edge.resume_request(outcome.request_id, head)
        edge.finish_request(outcome.request_id, succeeded=False)
        upstreams[outcome.request_id] = work.upstream
    assert set(upstreams.values()) == set(BACKENDS.values())
    return upstreams


def take_up(edge, stream):
    """Take a stream up; return the upstream that it goes on at, or the code of a refusal."""
    outcome = edge.begin_request(SHARED_PATH, **{"Last-Event-Id": "3", "Resumes": stream})
    edge.finish_request(outcome.request_id, succeeded=False)
    if type(outcome.action) is actions.Refuse:
        return outcome.action.error.code.wire
    return outcome.action.work.upstream


@behave.when("{count:d} streams of that route break off and are taken up under other ids")
def step_take_up_shared(context, count):
    context.began = begin_and_break(context.edge, count)
    context.taken = {stream: take_up(context.edge, stream) for stream in context.began}


@behave.then("each goes on at the service that began it")
def step_check_shared(context):
    assert context.taken == context.began, (context.taken, context.began)


@behave.when(
    "{count:d} streams of that route break off, the route leaves one service, and they are taken up"
)
def step_take_up_moved(context, count):
    context.began = begin_and_break(context.edge, count)
    context.edge.publish(a_shared_route(2, "model"))
    context.taken = {stream: take_up(context.edge, stream) for stream in context.began}


@behave.then("those of the other service go on there, and the rest are refused with {code:S}")
def step_check_moved(context, code):
    wanted = {s: name if name == "m1" else code for s, name in context.began.items()}
    assert context.taken == wanted, context.taken


@behave.then("nothing is counted as running at an upstream")
def step_check_open(context):
    assert not context.edge.decisions.balancer.assignments
