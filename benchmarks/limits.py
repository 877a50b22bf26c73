"""Wrongful refusals of the limits against an equal division and a central counter.

Run as ``python -m benchmarks.limits``: virtual time, one account, the same requests for all three.
A refusal is wrongful when one bucket for the whole fleet would have admitted the request.
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
SECONDS = 120.0
RATE = 400.0
BURST = 1600.0
MEAN_TOKENS = 20.0
MOST_TOKENS = 300
DEMANDS = {"even": 0.0, "skewed": 1.0, "shifting": 0.0}
FAULTS = ("none", "crash", "store down", "region cut off")
INSTANCES = 6
HORIZON_S = 5400.0


class Demand(records.Record):
    """One run: how demand is spread, and the fault at a third of the run."""

    __slots__ = ("spread", "fault", "share")

    def __init__(self, *, spread: str, fault: str, share: float) -> None:
        self.spread = spread
        self.fault = fault
        self.share = share


def run(demand: Demand) -> dict[str, typing.Any]:
    """Run our limits, and the two others on the same requests."""
    fleet = builders.a_fleet(
        SEED, regions=("muscat-a", "sohar-a"), per_region=3, specs=_site(), settle_s=10.0
    )
    for instance in fleet.alive():
        instance.decisions.store_session.horizon_s = HORIZON_S
    before = (fleet.store_calls, fleet.peer_calls, fleet.store.revision)
    fleet.serve = histories.serve_partial_usage
    player = histories.HistoryPlayer(fleet, seed=SEED)
    player.start_traffic(
        tokens_per_s=demand.share * RATE,
        mean_tokens=MEAN_TOKENS,
        max_request_tokens=MOST_TOKENS,
        skew=DEMANDS[demand.spread],
    )
    parts = 6 if demand.spread == "shifting" else 3
    for number in range(parts):
        if demand.spread == "shifting":
            player.favoured_index = number % len(fleet.alive())
            player.skew = 0.9
        if number == parts // 3:
            _fault(demand.fault, fleet)
        fleet.run(SECONDS / parts)
    player.traffic_running = False
    fleet.net.heal()
    fleet.run(5.0)
    return _figures(demand, fleet, player, before)


def _site() -> list[typing.Any]:
    site = builders.a_site(regions=("muscat-a", "sohar-a"))
    for spec in site:
        if type(spec) is rates.Rate:
            spec.tokens_per_s, spec.burst_tokens = RATE, BURST
        for name in ("slots", "max_output_tokens"):
            if hasattr(spec, name):
                setattr(spec, name, 10000)
    return site


def _fault(fault: str, fleet: typing.Any) -> None:
    if fault == "crash":
        fleet.kill(fleet.alive()[-1])
    elif fault == "store down":
        fleet.net.store_down = True
    elif fault == "region cut off":
        for other in ("muscat-a", network.STORE):
            fleet.net.cut("sohar-a", other)


def _figures(
    demand: Demand, fleet: typing.Any, player: histories.HistoryPlayer, before: tuple[int, int, int]
) -> dict[str, typing.Any]:
    results = [r for r in player.results if r.finished_at is not None]
    asked = [(r.requested_at, float(r.request.max_tokens)) for r in results]
    due = history_checks.single_bucket_refusals(asked, rate=RATE, burst=BURST)
    refused = sum(r.error is not None for r in results)
    total = max(1, len(results))
    cut = demand.fault in ("store down", "region cut off")
    return {
        "demand": demand.spread,
        "fault": demand.fault,
        "share": demand.share,
        "requests": len(results),
        "ours": max(0, refused - due) / total,
        "equal division": max(0, _equal(results) - due) / total,
        "central counter": max(0, _central(results, cut=cut) - due) / total,
        "excess": history_checks.worst_excess(
            history_checks.admitted_usage(results), rate=RATE, burst=BURST
        ),
        "store_calls_s": (fleet.store_calls - before[0]) / SECONDS,
        "store_writes_s": (fleet.store.revision - before[2]) / SECONDS,
        "peer_messages_s": (fleet.peer_calls - before[1]) / SECONDS,
    }


def _equal(results: list[typing.Any]) -> int:
    """Return the refusals with a sixth of rate and burst at each instance."""
    names = sorted({r.instance for r in results})
    return sum(
        history_checks.single_bucket_refusals(
            [(r.requested_at, float(r.request.max_tokens)) for r in results if r.instance == name],
            rate=RATE / INSTANCES,
            burst=BURST / INSTANCES,
        )
        for name in names
    )


def _central(results: list[typing.Any], *, cut: bool) -> int:
    """Return the refusals of one counter in the store, which refuses all when out of reach."""
    begin = results[0].requested_at + SECONDS / 3 if results else 0.0
    away = [r for r in results if cut and r.requested_at > begin]
    here = [(r.requested_at, float(r.request.max_tokens)) for r in results if r not in away]
    return len(away) + history_checks.single_bucket_refusals(here, rate=RATE, burst=BURST)


def main() -> int:
    """Run all cases, print and write them; fail when use ever exceeded rate and burst."""
    os.environ.setdefault(builders.SECRET_VARIABLE, builders.SECRET)
    cases = [
        Demand(spread=spread, fault=fault, share=share)
        for spread in DEMANDS
        for fault in FAULTS
        for share in (0.7, 1.5)
    ]
    figures = [run(case) for case in cases]
    RESULTS.write_text(json.dumps(figures, indent=1) + "\n")
    for item in figures:
        print(
            f"{item['demand']:<9} {item['fault']:<15} {item['share']:.1f} of the rate: wrongful "
            f"ours {item['ours']:.4f}, equal {item['equal division']:.4f}, "
            f"central {item['central counter']:.4f}; {item['store_calls_s']:.1f} store calls, "
            f"{item['store_writes_s']:.2f} writes, {item['peer_messages_s']:.1f} messages a second"
        )
    worst = max(item["excess"] for item in figures)
    print(f"{len(figures)} runs, worst excess over rate and burst {worst:g} tokens")
    return 1 if worst > 0 else 0


if __name__ == "__main__":
    sys.exit(main())
