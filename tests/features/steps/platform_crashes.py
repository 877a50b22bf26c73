"""Steps about requests that crash upstreams of another region, on the users' platform."""

from __future__ import annotations

import behave

from tests import platform_builders, stream_builders
from yuccahitch import errors
from yuccahitch.codecs import peer
from yuccahitch.messages import actions, answers

REPEAT_PERIOD_S = 1.0


def a_failure(work, error, *, crashed=False):
    """Return the failure of an attempt, as it comes from an upstream or another instance."""
    failure = answers.Failure(
        request_id=work.request.id, attempt=work.attempt, error=error, crashed=crashed
    )
    return peer.from_part(peer.to_part(failure, stamp=1))


def crash_in_west(west, forward):
    """Let the upstream crash that a forwarded request is sent to; return what west answers."""
    work = stream_builders.forwarded(forward, west).action.work
    crash = errors.GatewayError(
        errors.Code.UPSTREAM_FAILED,
        step="send",
        peer=work.upstream,
        run=errors.RunStatus.MAY_HAVE_RUN,
    )
    refusal = west.resume_request(work.request.id, a_failure(work, crash, crashed=True)).action
    west.finish_request(work.request.id, succeeded=False, error=refusal.error)
    west.decisions.registry.apply_change(work.upstream, None, west.now)
    return a_failure(forward, refusal.error)


@behave.given("a platform with an instance in east, one in west, and {count:d} upstreams in west")
def step_start_pair(context, count):
    context.east, context.west = context.edges = [
        platform_builders.EdgeUnderTest(f"edge-{region}", region=region)
        for region in ("east", "west")
    ]
    for edge in context.edges:
        edge.publish(platform_builders.a_publication())
        for number in range(count):
            edge.register_upstream(f"u{number}", zone="west-a")
    context.east.discover(context.west)


@behave.when(
    "a request from east has crashed {count:d} of them, one with each repeat, without a pulse of "
    "west"
)
def step_crash_upstreams(context, count):
    east, west = context.edges
    for _ in range(count):
        forward = east.begin_request().action.work
        assert type(forward) is actions.Forward, forward
        outcome = east.resume_request(forward.request.id, crash_in_west(west, forward))
        east.finish_request(outcome.request_id, succeeded=False, error=outcome.action.error)
        east.now += REPEAT_PERIOD_S
        west.now += REPEAT_PERIOD_S


@behave.then("east refuses the next repeat itself, as poison and not-run")
def step_check_refused(context):
    action = context.east.begin_request().action
    assert type(action) is actions.Refuse, action
    assert action.error.code is errors.Code.POISON, action.error
    assert action.error.run is errors.RunStatus.NOT_RUN, action.error
