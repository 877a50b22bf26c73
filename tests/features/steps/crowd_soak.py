"""Steps about the soak of crowds."""

from __future__ import annotations

import behave

from tests import crowd_soak, event_coverage, platform_calls


@behave.when("the soak of crowds runs with seed {seed:d}")
def step_run(context, seed):
    soak = crowd_soak.Soak(seed, event_coverage.run_dir() / "test-soak")
    context.findings = platform_calls.run(context, soak.run())
    print(crowd_soak.summary(soak))


@behave.then("it finds nothing")
def step_check(context):
    assert not context.findings, context.findings
