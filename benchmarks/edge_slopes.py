"""Slopes of an instance on the users' platform: pulses, decisions and state.

Run as ``python -m benchmarks.edge_slopes``. Prints slope, intercept and fit, and writes
benchmarks/results/edge_slopes.json. The decision objects alone, without sockets.
"""

from __future__ import annotations

import itertools
import json
import pathlib
import sys
import typing

from benchmarks import slopes
from tests import builders
from yuccahitch.codecs import pulses as codec
from yuccahitch.messages import pulses

RESULTS = pathlib.Path(__file__).parent / "results" / "edge_slopes.json"
NUMBERS = itertools.count(1)


def an_instance(*, members: int = 8, accounts: int = 8, upstreams: int = 8) -> typing.Any:
    """Return an instance that knows so many others, accounts in demand and upstreams."""
    edge = builders.EdgeUnderTest()
    tenants = [
        builders.a_published_tenant(
            f"account-{n}", apiKeys=[f"key-{n}"], ratePerS=1e6, burst=1e6, unit="generate"
        )
        for n in range(accounts)
    ]
    edge.publish(builders.a_publication(tenants=[builders.a_published_tenant(), *tenants]))
    for n in range(upstreams):
        edge.register_upstream(f"u{n}", capacity=64, zone="east-a")
    known = edge.decisions.members
    for n in range(members):
        row = known.own.as_dict() | {"instance": f"other-{n}~1"}
        known.apply_change(f"other-{n}", edge.store_item(f"other-{n}", row), edge.now)
        edge.decisions.on_pulse(a_pulse(f"other-{n}~1", accounts, upstreams), edge.now)
    for number in range(upstreams):
        edge.decisions.registry.record_dispatch(f"u{number}", prompt_tokens=100, now=edge.now)
    for limit in edge.decisions.config.current.rates.values():
        edge.decisions.rate_shares.spend(limit, 100.0, edge.now)
    return edge


def a_pulse(instance: str, accounts: int, upstreams: int) -> pulses.Pulse:
    """Return a pulse that tells of so many accounts and upstreams."""
    return pulses.Pulse(
        instance=instance,
        region="east",
        number=1_000_000 + next(NUMBERS),
        leaving=False,
        ready=True,
        uses=[
            pulses.UpstreamUsage(f"u{n}", running=9, prompt_tokens=900) for n in range(upstreams)
        ],
        demands=[
            pulses.AccountDemand(f"account-{n}", tokens_per_s=900.0, overdrawn=0.0)
            for n in range(accounts)
        ],
        rooms=[],
        heard={},
        suspects=[],
        version=1,
    )


def measure(name: str, sizes: list[int]) -> list[slopes.Slope]:
    """Return the slopes over one size: a pulse made and heard, a request, and the state."""
    edges = [an_instance(**{name: size}) for size in sizes]
    made = [slopes.seconds_of(lambda e=e: told(e), times=20) for e in edges]
    size_bytes = [float(len(codec.encode(told(e)))) for e in edges]
    heard = [slopes.seconds_of(lambda e=e: hear(e, name), times=20) for e in edges]
    asked = [slopes.seconds_of(lambda e=e: ask(e), times=20) for e in edges]
    state = [slopes.memory_of(lambda s=s: an_instance(**{name: s})) for s in sizes]
    rows = (
        ("processor time of making a pulse", "s", made),
        ("bytes of a pulse", "bytes", size_bytes),
        ("processor time of hearing a pulse", "s", heard),
        ("processor time of a request's decisions", "s", asked),
        ("state of an instance", "bytes", state),
    )
    return [
        slopes.Slope(f"{what}, by {name}", unit=unit, sizes=sizes, values=values)
        for what, unit, values in rows
    ]


def told(edge: typing.Any) -> pulses.Pulse:
    """Return the pulse that an instance tells while all accounts are in demand."""
    edge.decisions.outbox.clear()
    edge.decisions.send_pulse(["127.0.0.1:1"], edge.now)
    return edge.decisions.outbox.pop().pulse


def hear(edge: typing.Any, name: str) -> None:
    """Let an instance hear the first of the others, as it is on the wire."""
    first = next(iter(edge.decisions.members.members))
    accounts = len(edge.decisions.config.current.rates) if name == "accounts" else 8
    raw = codec.encode(a_pulse(first, accounts, 8))
    edge.decisions.on_pulse(codec.decode(raw), edge.now)


def ask(edge: typing.Any) -> None:
    """Let a request begin and end."""
    outcome = edge.begin_request()
    edge.finish_request(outcome.request_id)
    edge.decisions.take_commands(edge.now)


def main() -> int:
    """Measure, print and write all slopes."""
    found = [
        *measure("members", [10, 20, 40, 75]),
        *measure("accounts", [50, 100, 200, 590]),
        *measure("upstreams", [15, 30, 60, 120]),
    ]
    for slope in found:
        print(slope)
    RESULTS.write_text(json.dumps([slope.as_dict() for slope in found], indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
