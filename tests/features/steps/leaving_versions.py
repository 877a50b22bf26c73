"""Steps about upstreams of a software version that are leaving."""

from __future__ import annotations

import behave

from tests import stream_builders, stream_simulation
from yuccahitch import errors
from yuccahitch.messages import actions, upstream_notices

ASK_PATH = "/ask/x"
# Time before the end of its wait at which a caller would still come in vain, in seconds.
TOO_EARLY_S = 0.5


@behave.when("upstreams of {version:w} begin to leave")
def step_begin_to_leave(context, version):
    stream_simulation.register(context.site, version, state="draining")


@behave.when("the answers of the upstreams of {version:w} say to {name:S} that they are leaving")
def step_say_leaving(context, version, name):
    edge = context.site.edges[name]
    registry = edge.decisions.registry
    for replica in list(registry.by_name.values()):
        if replica.upstream.software_version == version:
            notice = upstream_notices.UpstreamNotice(
                replica.upstream.name,
                incarnation=replica.incarnation,
                requests_per_s=None,
                leaving=True,
                pause_s=0.0,
                unreadable="",
            )
            edge.decisions.on_upstream_notice(notice, edge.now)


@behave.then("a stream begins at {version:w} at {name:S}")
def step_check_begins(context, version, name):
    stream_simulation.begin_stream(context.site, name, version=version)


@behave.then("no stream begins at {version:w} at {name:S}")
def step_check_begins_not(context, version, name):
    try:
        stream_simulation.begin_stream(context.site, name, version=version)
    except ValueError:
        return
    raise AssertionError(f"a stream began at {version}")


@behave.then("nothing else goes to {version:w} at {name:S}")
def step_check_not_placed(context, version, name):
    edge = context.site.edges[name]
    for _ in range(20):
        outcome = edge.begin_request(ASK_PATH)
        if type(outcome.action) is actions.Perform:
            assert outcome.action.work.software_version != version, outcome
        edge.finish_request(outcome.request_id, succeeded=False)


@behave.then("a stream at {name:S} is refused with {code:S}, not run")
def step_check_refused(context, name, code):
    edge = context.site.edges[name]
    outcome = edge.begin_request(stream_builders.STREAM_PATH)
    edge.finish_request(outcome.request_id, succeeded=False)
    assert stream_simulation.went_to(outcome) == code
    assert outcome.action.error.run is errors.RunStatus.NOT_RUN
    context.refused_at, context.wait_s = name, outcome.action.error.retry_after


@behave.then(
    "streams begin at {version:w} there when the time to come back is over, and none half a second "
    "before"
)
def step_check_time(context, version):
    context.site.run(max(0.0, context.wait_s - TOO_EARLY_S))
    step_check_begins_not(context, version, context.refused_at)
    context.site.run(min(context.wait_s, TOO_EARLY_S))
    step_check_begins(context, version, context.refused_at)
