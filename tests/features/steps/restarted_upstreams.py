"""Steps about upstreams that start again before their new entries are known."""

from __future__ import annotations

import asyncio
import re

import behave
import eliot

from tests import forwarding_pair, restarting_upstreams
from yuccahitch import errors, events
from yuccahitch.messages import upstream_notices

STREAM_PATH = "/plan/x"
OTHER_PATH = "/ask/x"
REST_S = 0.05
# Duration of a run that the copy of a report finds at work, in seconds.
WORK_S = 0.2


@behave.given("an instance that knows upstreams {upstreams}")
def step_start(context, upstreams):
    context.restarts = restarting_upstreams.RestartingSite()
    context.closers = [lambda: context.restarts.close()]
    versions = dict(re.findall(r"(\w+) of (\w+)", upstreams))
    context.loop.run_until_complete(context.restarts.start(versions))


@behave.given("the upstreams answer with {manner} instead of their reports")
def step_set_manner(context, manner):
    context.restarts.set_manner(manner)
    if manner.startswith("copied"):
        for upstream in context.restarts.upstreams.values():
            upstream.state.faults.values["work_s"] = WORK_S


async def restart_all(site, version):
    """Let all upstreams start again with a version."""
    for upstream in site.upstreams.values():
        await upstream.start(version)


async def ask_often(site, path, count):
    """Ask for a stream some times, one after another; return the ids and the sinks."""
    asked = []
    for _ in range(count):
        asked.append(await site.ask(path))
        await asyncio.sleep(REST_S)
    return asked


def ask(context, path, *, count=1, headers=None):
    """Ask for streams, and keep their ids and sinks in the context."""
    site = context.restarts
    if headers is None:
        context.asked = context.loop.run_until_complete(ask_often(site, path, count))
    else:
        context.asked = [context.loop.run_until_complete(site.ask(path, headers))]


@behave.when(
    "a stream begins, and after {count:d} events all upstreams start again with {version}, which is"
    " not heard"
)
def step_restart_inside(context, count, version):
    site = context.restarts

    async def work():
        request_id, sink, task = site.send(STREAM_PATH)
        await forwarding_pair.wait_for(lambda: len(sink.event_ids()) >= count)
        await restart_all(site, version)
        await asyncio.wait_for(task, restarting_upstreams.LIMIT_S)
        context.asked = [(request_id, sink)]

    context.loop.run_until_complete(work())


@behave.when(
    "a stream ends, all upstreams start again with {version}, which is not heard, and its caller"
    " takes it up after event {number:d}"
)
def step_take_up(context, version, number):
    ask(context, STREAM_PATH)
    ((request_id, sink),) = context.asked
    assert restarting_upstreams.versions_in(sink) == {"v1"}, sink.ends
    context.loop.run_until_complete(restart_all(context.restarts, version))
    ask(context, STREAM_PATH, headers={"Last-Event-Id": str(number), "Resumes": request_id})


@behave.when(
    "all upstreams start again with {version}, which is not heard, and a stream is asked for"
)
def step_restart_and_ask(context, version):
    context.loop.run_until_complete(restart_all(context.restarts, version))
    ask(context, STREAM_PATH)


@behave.when(
    "all upstreams start again with {version}, which is not heard, answer with {manner}, and a"
    " stream is asked for"
)
def step_restart_in_manner(context, version, manner):
    context.loop.run_until_complete(restart_all(context.restarts, version))
    context.restarts.set_manner(manner)
    ask(context, STREAM_PATH)


@behave.when(
    "all upstreams start again with {version}, which is not heard, and a stream that can't be"
    " resumed is asked for"
)
def step_restart_and_ask_other(context, version):
    context.loop.run_until_complete(restart_all(context.restarts, version))
    ask(context, OTHER_PATH)


@behave.when(
    "{name} starts again with {version}, which is not heard, and {count:d} streams are asked for,"
    " one after another"
)
def step_restart_one(context, name, version, count):
    upstream = context.restarts.upstreams[name]
    context.loop.run_until_complete(upstream.start(version))
    context.log_records = []
    eliot.add_destinations(context.log_records.append)
    # What was logged before any destination comes first.
    context.log_records.clear()
    try:
        ask(context, STREAM_PATH, count=count)
    finally:
        eliot.remove_destination(context.log_records.append)


@behave.when("{count:d} streams are asked for, one after another")
def step_ask_often(context, count):
    ask(context, STREAM_PATH, count=count)


@behave.when("a stream is asked for")
def step_ask(context):
    ask(context, STREAM_PATH)


@behave.when("a stream that can't be resumed is asked for")
def step_ask_other(context):
    ask(context, OTHER_PATH)


@behave.when(
    "all upstreams start again with {version}, which is heard before a notice that they started"
    " again"
)
def step_hear_before_notice(context, version):
    site = context.restarts
    registry = site.node.edge.decisions.registry
    former = {name: registry.incarnation(name) for name in site.upstreams}
    context.loop.run_until_complete(restart_all(site, version))
    for name, incarnation in former.items():
        site.register(name)
        notice = upstream_notices.UpstreamNotice(name, incarnation=incarnation, replaced=True)
        site.node.edge.decisions.on_upstream_notice(notice, site.node.edge.now)


@behave.when(
    "all upstreams start again with {version}, which is not heard, and {count:d} streams are asked"
    " for at once"
)
def step_ask_at_once(context, version, count):
    site = context.restarts

    async def work():
        await restart_all(site, version)
        return await asyncio.gather(*(site.ask(STREAM_PATH) for _ in range(count)))

    context.asked = context.loop.run_until_complete(work())


@behave.when("the new entries are heard, and a stream is asked for")
def step_hear(context):
    for name in context.restarts.upstreams:
        context.restarts.register(name)
    ask(context, STREAM_PATH)


@behave.then("the answer holds events of {version} only, and is {end}")
@behave.then("the answers hold events of {version} only, and are {end}")
def step_check_answers(context, version, end):
    wanted = "cut" if end == "cut" else "complete"
    for _, sink in context.asked:
        assert restarting_upstreams.versions_in(sink) == {version}, bytes(sink.body)
        assert sink.ends == [wanted], sink.ends
        count = len(sink.event_ids())
        assert sink.event_ids() == list(range(1, count + 1)), sink.event_ids()
        assert (count == restarting_upstreams.EVENT_COUNT) == (wanted == "complete"), count


@behave.then("the answer holds events of one version, and is complete")
def step_check_one_version(context):
    ((_, sink),) = context.asked
    assert len(restarting_upstreams.versions_in(sink)) == 1, bytes(sink.body)
    assert sink.ends == ["complete"], sink.ends


@behave.then("the take-up is refused, did not run and reached no upstream")
@behave.then("it is refused, did not run and reached no upstream")
def step_check_refused(context):
    ((request_id, sink),) = context.asked
    (error,) = sink.ends
    assert type(error) is errors.GatewayError and error.run is errors.RunStatus.NOT_RUN, error
    received = [
        record["id"]
        for upstream in context.restarts.upstreams.values()
        for record in upstream.state.received
    ]
    assert request_id not in received, received


@behave.then("all of them are refused and did not run, and {name} has not been ejected")
def step_check_all_refused(context, name):
    ends = [error for _, sink in context.asked for error in sink.ends]
    assert len(ends) == len(context.asked), ends
    assert all(error.run is errors.RunStatus.NOT_RUN for error in ends), ends
    replica = context.restarts.node.edge.decisions.registry.by_name[name]
    assert replica.success_rate == 1.0 and replica.ejected_until < 0, replica.success_rate


@behave.then("it is refused, and may have run")
def step_check_no_promise(context):
    ((_, sink),) = context.asked
    (error,) = sink.ends
    assert type(error) is errors.GatewayError, error
    assert error.run is errors.RunStatus.MAY_HAVE_RUN, error


@behave.then("the instance has opened {count:d} connections to upstreams")
def step_check_opened(context, count):
    assert context.restarts.node.replicas.opened_total == count


@behave.then("upstreams were asked for their reports once")
def step_check_asked(context):
    assert context.restarts.reports_asked() == 1, context.restarts.reports_asked()


@behave.then("the log says upstream-replaced once")
def step_check_logged(context):
    types = [record.get("message_type") for record in context.log_records]
    assert types.count(events.Event.UPSTREAM_REPLACED.label) == 1, types
    context.caused_events = {events.Event.UPSTREAM_REPLACED.label}
