"""Measures how state reports, decisions and state grow on the users' platform.

Run as ``python -m benchmarks.edge_slopes``. Measures the decision objects of one instance alone,
without sockets. Prints slope, intercept and fit, and writes benchmarks/results/edge_slopes.json.
"""

from __future__ import annotations

import itertools
import json
import pathlib
import sys
import typing

from benchmarks import slopes
from tests import platform_builders
from yuccahitch.codecs import datagrams as codec
from yuccahitch.messages import pulses, suspects

RESULTS = pathlib.Path(__file__).parent / "results" / "edge_slopes.json"
# Numbers of the state reports; a receiver ignores one that is not higher than the last.
PULSE_NUMBERS = itertools.count(1)


def make_instance(*, members: int = 8, accounts: int = 8, upstreams: int = 8) -> typing.Any:
    """Return an instance that knows this many members, accounts with demand and upstreams."""
    edge = platform_builders.EdgeUnderTest()
    tenants = [
        platform_builders.a_published_tenant(
            f"account-{n}", apiKeys=[f"key-{n}"], ratePerS=1e6, burst=1e6, unit="generate"
        )
        for n in range(accounts)
    ]
    edge.publish(
        platform_builders.a_publication(tenants=[platform_builders.a_published_tenant(), *tenants])
    )
    for n in range(upstreams):
        edge.register_upstream(f"u{n}", capacity=64, zone="east-a")
    member_table = edge.decisions.members
    for n in range(members):
        instance_fields = member_table.own.as_dict() | {"instance": f"other-{n}~1"}
        member_table.apply_change(
            f"other-{n}", edge.store_item(f"other-{n}", instance_fields), edge.now
        )
        edge.decisions.on_report(make_pulse(f"other-{n}~1", accounts, upstreams), edge.now)
    for number in range(upstreams):
        edge.decisions.registry.record_dispatch(f"u{number}", prompt_tokens=100, now=edge.now)
    for limit in edge.decisions.config.current.rates.values():
        edge.decisions.rate_shares.spend(limit, 100.0, edge.now)
    return edge


def make_pulse(instance: str, accounts: int, upstreams: int) -> pulses.Pulse:
    """Return the state report of an instance with this many accounts and upstreams in use."""
    return pulses.Pulse(
        instance=instance,
        region="east",
        number=1_000_000 + next(PULSE_NUMBERS),
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
        suspects=suspects.SuspectReport(),
        version=1,
    )


def measure(dimension: str, sizes: list[int]) -> list[slopes.Slope]:
    """Return how the cost of state reports, of a request and of the state grows with one size.

    Args:
        dimension: The size to vary: "members", "accounts" or "upstreams".
        sizes: The sizes to measure at; the other dimensions keep their defaults.
    """
    edges = [make_instance(**{dimension: size}) for size in sizes]
    make_times = [slopes.min_cpu_seconds(lambda e=e: generate_pulse(e), calls=20) for e in edges]
    pulse_sizes = [float(len(codec.encode(generate_pulse(e)))) for e in edges]
    receive_times = [
        slopes.min_cpu_seconds(lambda e=e: receive_pulse(e, dimension), calls=20) for e in edges
    ]
    request_times = [slopes.min_cpu_seconds(lambda e=e: run_request(e), calls=20) for e in edges]
    state_sizes = [
        slopes.allocated_bytes(lambda s=s: make_instance(**{dimension: s})) for s in sizes
    ]
    measurements = (
        ("processor time of making a pulse", "s", make_times),
        ("bytes of a pulse", "bytes", pulse_sizes),
        ("processor time of hearing a pulse", "s", receive_times),
        ("processor time of a request's decisions", "s", request_times),
        ("state of an instance", "bytes", state_sizes),
    )
    return [
        slopes.Slope(f"{quantity}, by {dimension}", unit=unit, sizes=sizes, values=values)
        for quantity, unit, values in measurements
    ]


def generate_pulse(edge: typing.Any) -> pulses.Pulse:
    """Return the state report that an instance sends while all accounts have demand."""
    edge.decisions.outbox.clear()
    edge.decisions.send_pulse(["127.0.0.1:1"], edge.now)
    return edge.decisions.outbox.pop().report


def receive_pulse(edge: typing.Any, dimension: str) -> None:
    """Encode a state report of the first other member, decode it and let the instance apply it.

    The report covers all accounts of the instance if "accounts" is varied, else 8; always 8
    upstreams.
    """
    sender = next(iter(edge.decisions.members.members))
    accounts = len(edge.decisions.config.current.rates) if dimension == "accounts" else 8
    datagram = codec.encode(make_pulse(sender, accounts, 8))
    edge.decisions.on_report(codec.decode(datagram), edge.now)


def run_request(edge: typing.Any) -> None:
    """Begin and finish one request."""
    outcome = edge.begin_request()
    edge.finish_request(outcome.request_id)
    edge.decisions.take_commands(edge.now)


def main() -> int:
    """Measure all slopes, print them and write them to the results file."""
    all_slopes = [
        *measure("members", [10, 20, 40, 75]),
        *measure("accounts", [50, 100, 200, 590]),
        *measure("upstreams", [15, 30, 60, 120]),
    ]
    for slope in all_slopes:
        print(slope)
    RESULTS.write_text(json.dumps([slope.as_dict() for slope in all_slopes], indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
