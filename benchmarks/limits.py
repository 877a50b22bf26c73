"""Wrongful refusals of the rate limits, compared with an equal division and a central counter.

Run as ``python -m benchmarks.limits``. Replays the same requests of one client account in virtual
time for all three. A refusal is wrongful if one token bucket for the whole fleet would have
admitted the request.
"""

from __future__ import annotations

import json
import os
import pathlib
import sys
import typing

from fakes import network
from tests import builders, histories, history_checks
from yuccahitch import records
from yuccahitch.resources import rate as rates

RESULTS = pathlib.Path(__file__).parent / "results" / "limits.json"
SEED = 20261204
RUN_S = 120.0
RATE_TOKENS_PER_S = 400.0
BURST_TOKENS = 1600.0
MEAN_TOKENS = 20.0
MAX_REQUEST_TOKENS = 300
SKEW_BY_PATTERN = {"even": 0.0, "skewed": 1.0, "shifting": 0.0}
FAULTS = ("none", "crash", "store down", "region cut off")
INSTANCE_COUNT = 6
CUT_OFF_HORIZON_S = 5400.0


class LimitsCase(records.Record):
    """Parameters of one run.

    Attributes:
        demand_pattern: Distribution of the demand over the instances, a key of
            ``SKEW_BY_PATTERN``.
        fault: Fault injected after a third of the run, one of ``FAULTS``.
        load_factor: Requested tokens as a multiple of the account's rate.
    """

    __slots__ = ("demand_pattern", "fault", "load_factor")

    def __init__(self, *, demand_pattern: str, fault: str, load_factor: float) -> None:
        self.demand_pattern = demand_pattern
        self.fault = fault
        self.load_factor = load_factor


def run_case(limits_case: LimitsCase) -> dict[str, typing.Any]:
    """Run the rate limits and return their figures and those of the two alternatives."""
    fleet = builders.a_fleet(
        SEED, regions=("muscat-a", "sohar-a"), per_region=3, specs=_site_specs(), settle_s=10.0
    )
    for instance in fleet.alive():
        instance.decisions.store_session.horizon_s = CUT_OFF_HORIZON_S
    counters_before = (fleet.store_calls, fleet.peer_calls, fleet.store.revision)
    fleet.serve = histories.serve_partial_usage
    player = histories.HistoryPlayer(fleet, seed=SEED)
    player.start_traffic(
        tokens_per_s=limits_case.load_factor * RATE_TOKENS_PER_S,
        mean_tokens=MEAN_TOKENS,
        max_request_tokens=MAX_REQUEST_TOKENS,
        skew=SKEW_BY_PATTERN[limits_case.demand_pattern],
    )
    interval_count = 6 if limits_case.demand_pattern == "shifting" else 3
    for interval in range(interval_count):
        if limits_case.demand_pattern == "shifting":
            player.favoured_index = interval % len(fleet.alive())
            player.skew = 0.9
        if interval == interval_count // 3:
            _inject_fault(limits_case.fault, fleet)
        fleet.run(RUN_S / interval_count)
    player.traffic_running = False
    fleet.net.heal()
    fleet.run(5.0)
    return _collect_figures(limits_case, fleet, player, counters_before)


def _site_specs() -> list[typing.Any]:
    site_specs = builders.a_site(regions=("muscat-a", "sohar-a"))
    for spec in site_specs:
        if type(spec) is rates.Rate:
            spec.tokens_per_s, spec.burst_tokens = RATE_TOKENS_PER_S, BURST_TOKENS
        for name in ("slots", "max_output_tokens"):
            if hasattr(spec, name):
                setattr(spec, name, 10000)
    return site_specs


def _inject_fault(fault: str, fleet: typing.Any) -> None:
    if fault == "crash":
        fleet.kill(fleet.alive()[-1])
    elif fault == "store down":
        fleet.net.store_down = True
    elif fault == "region cut off":
        for other in ("muscat-a", network.STORE):
            fleet.net.cut("sohar-a", other)


def _collect_figures(
    limits_case: LimitsCase,
    fleet: typing.Any,
    player: histories.HistoryPlayer,
    counters_before: tuple[int, int, int],
) -> dict[str, typing.Any]:
    results = [r for r in player.results if r.finished_at is not None]
    requested = [(r.requested_at, float(r.request.max_tokens)) for r in results]
    single_bucket_refused = history_checks.single_bucket_refusals(
        requested, rate=RATE_TOKENS_PER_S, burst=BURST_TOKENS
    )
    refused = sum(r.error is not None for r in results)
    total = max(1, len(results))
    store_unreachable = limits_case.fault in ("store down", "region cut off")
    return {
        "demand": limits_case.demand_pattern,
        "fault": limits_case.fault,
        "share": limits_case.load_factor,
        "requests": len(results),
        "ours": max(0, refused - single_bucket_refused) / total,
        "equal division": max(0, _equal_division_refusals(results) - single_bucket_refused) / total,
        "central counter": max(
            0,
            _central_counter_refusals(results, store_unreachable=store_unreachable)
            - single_bucket_refused,
        )
        / total,
        "excess": history_checks.worst_excess(
            history_checks.admitted_usage(results), rate=RATE_TOKENS_PER_S, burst=BURST_TOKENS
        ),
        "store_calls_s": (fleet.store_calls - counters_before[0]) / RUN_S,
        "store_writes_s": (fleet.store.revision - counters_before[2]) / RUN_S,
        "peer_messages_s": (fleet.peer_calls - counters_before[1]) / RUN_S,
    }


def _equal_division_refusals(results: list[typing.Any]) -> int:
    """Return the refusals if each instance had a sixth of the rate and the burst."""
    instance_names = sorted({r.instance for r in results})
    return sum(
        history_checks.single_bucket_refusals(
            [(r.requested_at, float(r.request.max_tokens)) for r in results if r.instance == name],
            rate=RATE_TOKENS_PER_S / INSTANCE_COUNT,
            burst=BURST_TOKENS / INSTANCE_COUNT,
        )
        for name in instance_names
    )


def _central_counter_refusals(results: list[typing.Any], *, store_unreachable: bool) -> int:
    """Return the refusals of one counter in the store.

    While the store is unreachable, every request is refused.
    """
    fault_at = results[0].requested_at + RUN_S / 3 if results else 0.0
    unreachable = [r for r in results if store_unreachable and r.requested_at > fault_at]
    reachable = [
        (r.requested_at, float(r.request.max_tokens)) for r in results if r not in unreachable
    ]
    return len(unreachable) + history_checks.single_bucket_refusals(
        reachable, rate=RATE_TOKENS_PER_S, burst=BURST_TOKENS
    )


def main() -> int:
    """Run all cases, print and write their figures.

    Returns the exit code: 1 if the usage of a run exceeded its rate and burst, else 0.
    """
    os.environ.setdefault(builders.SECRET_VARIABLE, builders.SECRET)
    cases = [
        LimitsCase(demand_pattern=demand_pattern, fault=fault, load_factor=load_factor)
        for demand_pattern in SKEW_BY_PATTERN
        for fault in FAULTS
        for load_factor in (0.7, 1.5)
    ]
    figures = [run_case(case) for case in cases]
    RESULTS.write_text(json.dumps(figures, indent=1) + "\n")
    for row in figures:
        print(
            f"{row['demand']:<9} {row['fault']:<15} {row['share']:.1f} of the rate: wrongful "
            f"ours {row['ours']:.4f}, equal {row['equal division']:.4f}, "
            f"central {row['central counter']:.4f}; {row['store_calls_s']:.1f} store calls, "
            f"{row['store_writes_s']:.2f} writes, {row['peer_messages_s']:.1f} messages a second"
        )
    max_excess_tokens = max(row["excess"] for row in figures)
    print(f"{len(figures)} runs, worst excess over rate and burst {max_excess_tokens:g} tokens")
    return 1 if max_excess_tokens > 0 else 0


if __name__ == "__main__":
    sys.exit(main())
