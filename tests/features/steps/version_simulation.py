"""Steps about streams of several software versions in virtual time."""

from __future__ import annotations

import itertools

import behave

from tests import version_checks

PLANS = {
    "all kinds of trouble": "mixed",
    "the loss of all instances around a first release": "races",
    "a first release that some instances don't hear of": "stale",
    "releases long after each other, and losses of all": "ages",
    "a store that forgets a release as all instances die": "restores",
    "upstreams that start again with another version": "replaced",
    "such upstreams, and instances that don't hear of them": "replaced-unheard",
}


@behave.when("{count:d} seeds from {first:d} play {trouble}")
def step_play(context, count, first, trouble):
    plan = PLANS[trouble]
    seeds = range(first, first + count)
    context.outcomes = [version_checks.play(plan, seed) for seed in seeds]
    context.caused_events = set().union(*(outcome.logged for outcome in context.outcomes))


def check_none(context, findings_of):
    """Check that no seed has findings."""
    found = {outcome.seed: findings_of(outcome) for outcome in context.outcomes}
    broken = {seed: len(texts) for seed, texts in found.items() if texts}
    first_texts = list(itertools.chain.from_iterable(found.values()))[:2]
    assert not broken, f"findings by seed {broken}: {first_texts}"


@behave.then(
    "no stream holds events of two versions or services, or one twice, and none is missing"
)
def step_check_joined(context):
    check_none(context, version_checks.Outcome.joined)


@behave.then(
    "take-ups go on at least half as often as new streams begin, and a refusal is true and comes"
    " at once"
)
def step_check_lost(context):
    check_none(context, version_checks.Outcome.lost)
