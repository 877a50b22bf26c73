"""Slopes for docs/CAPACITY.md: how state, messages and time grow, one size varied at a time.

Run as ``python -m benchmarks.slopes``. Real processes where a few suffice, the decision objects
alone beyond. Prints slope, intercept and fit, and writes benchmarks/results/slopes.json.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import sys
import time
import tracemalloc
import typing

import numpy

from benchmarks import policy, workload
from fakes import fleet as fleets
from fakes import instances
from yuccahitch import records
from yuccahitch.codecs import peer as codec
from yuccahitch.controllers import gateway
from yuccahitch.controllers import slices as slice_controller
from yuccahitch.messages import peers
from yuccahitch.resources import account, entry, key, rate, upstream

RESULTS = pathlib.Path(__file__).parent / "results" / "slopes.json"
REPEATS = 5


class Slope(records.Record):
    """A straight line through measured points."""

    __slots__ = ("name", "unit", "sizes", "values", "slope", "intercept", "fit")

    def __init__(self, name: str, *, unit: str, sizes: list[int], values: list[float]) -> None:
        self.name = name
        self.unit = unit
        self.sizes = sizes
        self.values = values
        self.slope, self.intercept = (float(v) for v in numpy.polyfit(sizes, values, 1))
        fitted = numpy.polyval([self.slope, self.intercept], sizes)
        spread = float(numpy.sum((numpy.array(values) - numpy.mean(values)) ** 2))
        error = float(numpy.sum((numpy.array(values) - fitted) ** 2))
        self.fit = 1.0 - error / spread if spread > 0 else 1.0

    def __str__(self) -> str:
        return (
            f"{self.name}: slope {self.slope:.4g} {self.unit}, intercept {self.intercept:.4g}, "
            f"fit {self.fit:.3f}"
        )


def a_gateway(number: int = 1) -> gateway.Gateway:
    """Return the decisions of one instance."""
    settings = policy.settings_for(
        f"i{number}", "r1", "z1", site=workload.ICE_WORKS, requests_per_slot=1.25
    )
    fleet = fleets.Fleet(1, make_settings=lambda *_: settings)
    return fleet.add(f"i{number}", "r1", "z1").decisions


def an_entry(spec: entry.Spec, version: int = 1) -> entry.Entry:
    """Return a resource as an entry."""
    kind = entry.kind_of(spec)
    return entry.Entry(kind=kind, name=spec.name, version=version, write_id="s", spec=spec)


def account_entries(count: int) -> list[entry.Entry]:
    """Return accounts, each with a key and a rate."""
    specs: list[entry.Spec] = []
    for n in range(count):
        name = f"account-{n}"
        specs.append(account.Account(name=name, residency=("r1", "r2")))
        specs.append(key.Key(name=name, account=name, digest=key.digest_of(name)))
        specs.append(rate.Rate(name=name, tokens_per_s=1000, burst_tokens=10000))
    return [an_entry(spec) for spec in specs]


def upstream_entries(count: int) -> list[entry.Entry]:
    """Return upstreams of ten services in the instance's region."""
    return [
        an_entry(
            upstream.Upstream(
                name=f"up-{n}",
                service=f"model-{n % 10}",
                region="r1",
                zone="z1",
                address="http://127.0.0.1:1",
                abilities=("load",),
            )
        )
        for n in range(count)
    ]


def rows(count: int, *, zones: int = 18) -> list[peers.InstanceInfo]:
    """Return rows of instances over zones and five regions."""
    return [
        peers.InstanceInfo(
            instance=f"instance-{n}~{n:08x}",
            region=f"r{n % zones % 5 + 1}",
            zone=f"z{n % zones + 1}",
            host="10.0.0.1",
            caller_port=7001,
            peer_port=7003,
            wan_address="10.0.0.1:7003",
            beat=1,
            ready=True,
        )
        for n in range(1, count + 1)
    ]


def memory_of(make: typing.Callable[[], typing.Any]) -> float:
    """Return the bytes that what a call makes holds on to."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(after - before)


def seconds_of(work: typing.Callable[[], None], *, times: int) -> float:
    """Return the least processor time of one call, over some repeats, in seconds."""

    def once() -> float:
        began = time.process_time()
        for _ in range(times):
            work()
        return (time.process_time() - began) / times

    return min(once() for _ in range(REPEATS))


def measure_memory() -> list[Slope]:
    """Return how state grows with accounts, upstreams, instances and operations."""
    sizes = [100, 200, 400, 600]

    def catalog(entries: typing.Callable[[int], list[entry.Entry]], count: int) -> float:
        decisions = a_gateway()
        return memory_of(lambda: decisions.config.merge_entries(entries(count)))

    def holdings(count: int) -> float:
        decisions = a_gateway()
        decisions.config.merge_entries(account_entries(count))

        def hold() -> None:
            for n in range(count):
                record = slice_controller.slice_record.Record(
                    account=f"account-{n}",
                    holders={f"instance-{i}~0000000{i}": 100000 for i in range(10)},
                    write_id="0" * 32,
                    revision=n + 1,
                )
                decisions.slices.apply_record(record, 0.0)

        return memory_of(hold)

    def members(count: int) -> float:
        decisions = a_gateway()

        def hear() -> None:
            for row in rows(count):
                decisions.members._record_info(row, 0.0)

        return memory_of(hear)

    def operations(count: int) -> float:
        decisions = a_gateway()

        def begin() -> None:
            for n in range(count):
                minted = decisions.operations.mint_key("account-1", 0.0)
                decisions.operations.begin(
                    "account-1", minted, digest="0" * 32, request_id=f"r-{n:032x}", expires_at=1e9
                )

        return memory_of(begin)

    def states(count: int) -> float:
        decisions = a_gateway()

        def hear() -> None:
            for n in range(count):
                decisions.upstream_states.record_report(_load(n), 0.0)

        return memory_of(hear)

    made = [
        ("state of an account with key and rate", "bytes", lambda n: catalog(account_entries, n)),
        ("state of an upstream in the catalog", "bytes", lambda n: catalog(upstream_entries, n)),
        ("state of a slice record of ten holders", "bytes", holdings),
        ("state of a known instance", "bytes", members),
        ("state of an idempotency key", "bytes", operations),
        ("state of an upstream's load and health", "bytes", states),
    ]
    return [
        Slope(name, unit=unit, sizes=sizes, values=[work(n) for n in sizes])
        for name, unit, work in made
    ]


def _load(number: int) -> peers.LoadReport:
    return peers.LoadReport(
        upstream=f"up-{number}", running=4, waiting=0, sequence=9, leaving=False, age_ms=500
    )


def loaded(*, instances: int, accounts: int, upstreams: int) -> gateway.Gateway:
    """Return decisions that know so many instances, accounts and upstreams."""
    decisions = a_gateway()
    decisions.config.merge_entries(account_entries(accounts) + upstream_entries(upstreams))
    for row in rows(instances):
        decisions.members._record_info(row, 0.0)
    for n in range(upstreams):
        decisions.upstream_states.record_report(_load(n), 0.0)
    decisions.take_commands(0.0)
    return decisions


def measure_time() -> list[Slope]:
    """Return how the time of a tick and of a heartbeat, and its bytes, grow."""
    found = []
    for label, sizes, options in (
        ("instances", [50, 100, 200, 380], {"accounts": 50, "upstreams": 30}),
        ("accounts", [100, 200, 400, 590], {"instances": 50, "upstreams": 30}),
        ("upstreams", [30, 60, 120, 240], {"instances": 50, "accounts": 50}),
    ):
        gateways = [loaded(**options, **{label: size}) for size in sizes]
        found.append(
            Slope(
                f"processor time of a tick, by {label}",
                unit="s",
                sizes=sizes,
                values=[seconds_of(lambda d=d: _tick(d), times=20) for d in gateways],
            )
        )
        found.append(
            Slope(
                f"bytes of a heartbeat, by {label}",
                unit="bytes",
                sizes=sizes,
                values=[float(_beat_bytes(d)) for d in gateways],
            )
        )
        found.append(
            Slope(
                f"processor time of a heartbeat, by {label}",
                unit="s",
                sizes=sizes,
                values=[seconds_of(lambda d=d: _beat_bytes(d), times=20) for d in gateways],
            )
        )
    return found


def _tick(decisions: gateway.Gateway) -> None:
    for member in decisions.members.members.values():
        member.last_seen_at = 0.0
    decisions.tick(0.0)
    decisions.take_commands(0.0)


def _beat_bytes(decisions: gateway.Gateway) -> int:
    near = next(iter(decisions.members.members))
    gossip = decisions.gossip.make_heartbeat(near, 0.0)
    return len(codec.to_envelope(gossip, stamp=1).SerializeToString())


def measure_requests() -> list[Slope]:
    """Return the decisions' processor time for a request, over many requests."""
    bench = policy.CaseRun(
        policy.BenchmarkCase(
            site=workload.DOORS, scenario="steady", policy="ours", rules={}, seed=policy.SEED
        )
    )
    bench.fleet.run(8.0)
    instance = bench.fleet.alive()[0]
    sizes, values = [200, 400, 800], []
    for count in sizes:
        items = workload.generate_arrivals(
            workload.DOORS, workload.LoadProfile(requests_per_s=count), seed=1, seconds=1.0
        )[:count]
        requests = [
            workload._build_request(item, workload.DOORS, random.randrange(10**9), 1e6)
            for item in items
        ]
        began = time.process_time()
        for request in requests:
            now = instance.local_time(bench.fleet.now)
            instance.decisions.begin(request, None, now)
            instance.decisions.take_commands(now)
        values.append(time.process_time() - began)
    name = "decisions' processor time of a request up to its dispatch or queue"
    return [Slope(name, unit="s", sizes=sizes, values=values)]


def measure_spread() -> list[Slope]:
    """Return the time in which a configuration change is in force everywhere, by instances."""
    sizes, values = [12, 24, 48, 96], []
    for count in sizes:
        fleet = fleets.Fleet(
            5,
            make_settings=lambda name, region, zone: policy.settings_for(
                name, region, zone, site=workload.ICE_WORKS, requests_per_slot=1.25
            ),
        )
        fleet.net.store_region = "r1"
        for row in rows(count, zones=6):
            fleet.add(row.instance.partition("~")[0], row.region, row.zone)
        fleet.load(account_entries(2))
        fleet.run(12.0)
        newer = an_entry(rate.Rate(name="account-1", tokens_per_s=7, burst_tokens=70), version=2)
        began = fleet.now
        first = fleet.alive()[0]
        _publish(fleet, first, newer)
        fleet.store.revision += 1
        fleet.store.put(fleets.store.Put("config/rate/account-1", _stored(newer)))
        while not all(_knows(i.decisions) for i in fleet.alive()) and fleet.now < began + 30:
            fleet.run(0.05)
        values.append(fleet.now - began)
    name = "virtual time until a change is in force everywhere, by instances"
    return [Slope(name, unit="s", sizes=sizes, values=values)]


def _publish(fleet: fleets.Fleet, instance: instances.Instance, item: entry.Entry) -> None:
    fleet.run_on(instance, lambda now: instance.decisions.config.merge_and_push([item]))


def _stored(item: entry.Entry) -> bytes:
    return fleets.resources.entry_to_bytes(item)


def _knows(decisions: gateway.Gateway) -> bool:
    found = decisions.config.catalog.rate("account-1")
    return found is not None and found.tokens_per_s == 7


async def measure_processes() -> list[dict[str, typing.Any]]:
    """Return processor time, memory and store calls of real instances, idle and with requests."""
    from benchmarks import process

    return await process.measure()


def main() -> int:
    """Measure, print and write all slopes."""
    slopes = [*measure_memory(), *measure_time(), *measure_requests(), *measure_spread()]
    for slope in slopes:
        print(slope)
    processes = asyncio.run(measure_processes())
    for figures in processes:
        print(json.dumps(figures))
    data = {"slopes": [slope.as_dict() for slope in slopes], "processes": processes}
    RESULTS.write_text(json.dumps(data, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
