"""Steps about requests that crash upstreams, in virtual time on the own interface."""

from __future__ import annotations

import behave

from fakes import request_flow
from tests import builders
from yuccahitch import errors
from yuccahitch.messages import answers

REGIONS = ("muscat-a", "sohar-a", "salalah-a")
WORK_S = 0.05


def start_fleet(context, counts, serve):
    """Start an instance in each region, and some upstreams of the model there."""
    regions = REGIONS[: len(counts)]
    models = [
        builders.an_upstream(f"ice-{region}-{number}", region=region)
        for region, count in zip(regions, counts, strict=True)
        for number in range(count)
    ]
    context.fleet = builders.a_fleet(
        1,
        regions=regions,
        per_region=1,
        specs=[*builders.a_site(regions=regions, replicas=0), *models],
        serve=serve,
    )
    context.reached = []


def send(context, region):
    """Send the request through an instance of a region, and keep its result."""
    fleet = context.fleet
    (instance,) = [item for item in fleet.alive() if item.region == region]
    request = builders.a_request(deadline=instance.local_time(fleet.now) + 10, digest="bomb")
    context.result = fleet.request(instance, request)
    fleet.run(6.0)


def report_failure(fleet, work, report, *, crashed):
    """Let an attempt fail at its upstream after a short while."""
    error = errors.GatewayError(
        errors.Code.UPSTREAM_FAILED,
        step="dispatch",
        peer=work.upstream,
        run=errors.RunStatus.MAY_HAVE_RUN,
    )
    fleet.clock.schedule_after(WORK_S, lambda: report("failure", error=error, crashed=crashed))


@behave.given(
    "a fleet with {here:d} upstreams in the first region and {there:d} in the second, "
    "which crash on it"
)
def step_start_crashing(context, here, there):
    start_crashing_fleet(context, (here, there))


@behave.given(
    "a fleet with {second:d} upstreams in the second region and {third:d} in the third, "
    "which crash on it"
)
def step_start_crashing_elsewhere(context, second, third):
    start_crashing_fleet(context, (0, second, third))


def start_crashing_fleet(context, counts):
    """Start a fleet whose upstreams all crash on the request."""

    def crash(fleet, instance, work, report):
        context.reached.append(work.upstream)
        report_failure(fleet, work, report, crashed=True)

    start_fleet(context, counts, crash)


@behave.given(
    "a fleet with {here:d} upstreams in the first region and {there:d} in the second, "
    "of which the first {fails}"
)
def step_start_failing(context, here, there, fails):
    def fail_first(fleet, instance, work, report):
        context.reached.append(work.upstream)
        if len(context.reached) == 1:
            report_failure(fleet, work, report, crashed=fails == "crashes")
        else:
            request_flow.serve_at_once(fleet, instance, work, report)

    start_fleet(context, (here, there), fail_first)


@behave.when("a caller of the first region sends the request")
def step_send_to_first(context):
    send(context, REGIONS[0])


@behave.when("callers of all regions send the request again")
def step_send_to_all(context):
    for region in REGIONS[: len(context.fleet.alive())]:
        send(context, region)


@behave.then("{count:d} upstreams crashed, and the caller got {code}, {run}")
def step_check_crashes(context, count, code, run):
    assert len(context.reached) == count, context.reached
    error = context.result.error
    assert (error.code.wire, error.run.value) == (code, run), error


@behave.then("the caller got an answer")
def step_check_answer(context):
    assert context.result.error is None, context.result.error
    assert context.result.usage != answers.Usage(), context.result.usage
    assert len(context.reached) == 2, context.reached
