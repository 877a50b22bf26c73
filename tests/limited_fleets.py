"""Fleets whose client account has a small rate and burst, and a monitor of what they may spend."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from tests import builders, histories, history_checks
from yuccahitch.controllers.rates import _bucket
from yuccahitch.resources import rate as rates

RATE = 100.0  # tokens a second
BURST = 200.0  # tokens
PARTS = _bucket.PARTS_PER_RATE
CHECK_INTERVAL_S = 0.1  # between two checks of a fleet, in virtual time
DEFAULT_HORIZON_S = 5400.0


class SpendableMonitor:
    """Records the highest numbers of parts and tokens that a fleet could spend at one time."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.peak_parts = 0
        self.peak_tokens = 0.0
        self.sample()

    def sample(self):
        parts, tokens = history_checks.spendable_now(self.fleet, "rinks")
        self.peak_parts = max(self.peak_parts, parts)
        self.peak_tokens = max(self.peak_tokens, tokens)
        self.fleet.clock.schedule_after(CHECK_INTERVAL_S, self.sample)


def a_site(regions):
    """Return resources with a small burst and upstreams that never run out of capacity."""
    site = builders.a_site(regions=regions)
    for spec in site:
        if type(spec) is rates.Rate:
            spec.tokens_per_s, spec.burst_tokens = RATE, BURST
    for name in ("slots", "max_output_tokens"):
        for spec in site:
            if hasattr(spec, name):
                setattr(spec, name, 10000)
    return site


def play_random_histories(context, count, random_cases_seed):
    """Play random histories; keep the excess of their usage and the monitors in the context."""
    context.excess = []
    context.spendable_monitors = []

    @hypothesis.seed(random_cases_seed)
    @hypothesis.settings(histories.PROFILE, max_examples=count)
    @hypothesis.given(
        histories.histories(),
        strategies.integers(0, 1000),
        strategies.lists(strategies.floats(1 - 1e-4, 1 + 1e-4), min_size=4, max_size=4),
    )
    def play(history, seed, clocks):
        fleet = builders.a_fleet(
            seed,
            regions=histories.REGIONS,
            specs=a_site(histories.REGIONS),
            clocks=clocks,
            serve=histories.serve_partial_usage,
        )
        context.spendable_monitors.append(SpendableMonitor(fleet))
        player = histories.HistoryPlayer(fleet, seed=seed)
        player.start_traffic(tokens_per_s=4 * RATE, mean_tokens=20, max_request_tokens=150)
        player.play(history)
        used = history_checks.admitted_usage(player.results)
        context.excess.append(history_checks.worst_excess(used, rate=RATE, burst=BURST))

    play()
    assert len(context.excess) >= count / 2


def member(context, number):
    """Return the instance with a number that starts at 1."""
    return context.members[int(number) - 1]


def send_request(context, instance, tokens):
    """Send a request for up to ``tokens`` tokens that uses one; return its result record."""
    now = instance.local_time(context.fleet.now)
    body = b'{"used": 1}'
    request = builders.a_request(
        prompt_tokens=0, max_tokens=int(tokens), body=body, deadline=now + 20
    )
    return context.fleet.request(instance, request)
