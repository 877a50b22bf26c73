"""Measures how state, messages and processor time grow with size, for docs/CAPACITY.md.

Run as ``python -m benchmarks.slopes``. Each measurement varies one size and fits a straight line.
Real processes are used where a few suffice, and the decision objects alone for larger sizes.
Prints slope, intercept and fit, and writes benchmarks/results/slopes.json.
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
from yuccahitch.controllers.instance import gateway
from yuccahitch.controllers.rates import slices as slice_controller
from yuccahitch.messages import peers
from yuccahitch.resources import account, entry, key, rate, upstream

RESULTS = pathlib.Path(__file__).parent / "results" / "slopes.json"
# Repeats of a timing; the fastest one counts.
REPEATS = 5


class Slope(records.Record):
    """A straight line fitted to measurements at several sizes by least squares.

    Attributes:
        name: The measured quantity, and the size that was varied.
        unit: Unit of the values and of the intercept; the slope is in this unit per unit of size.
        sizes: The sizes at which the quantity was measured.
        values: The measured value for each size.
        slope: Growth of the value per unit of size.
        intercept: Value of the line at size zero.
        fit: Coefficient of determination (R squared); 1 if all points lie on the line.
    """

    __slots__ = ("name", "unit", "sizes", "values", "slope", "intercept", "fit")

    def __init__(self, name: str, *, unit: str, sizes: list[int], values: list[float]) -> None:
        self.name = name
        self.unit = unit
        self.sizes = sizes
        self.values = values
        self.slope, self.intercept = (float(v) for v in numpy.polyfit(sizes, values, 1))
        fitted = numpy.polyval([self.slope, self.intercept], sizes)
        total_squares = float(numpy.sum((numpy.array(values) - numpy.mean(values)) ** 2))
        residual_squares = float(numpy.sum((numpy.array(values) - fitted) ** 2))
        self.fit = 1.0 - residual_squares / total_squares if total_squares > 0 else 1.0

    def __str__(self) -> str:
        return (
            f"{self.name}: slope {self.slope:.4g} {self.unit}, intercept {self.intercept:.4g}, "
            f"fit {self.fit:.3f}"
        )


def make_gateway(number: int = 1) -> gateway.Gateway:
    """Return the decision objects of one instance of a simulated fleet."""
    settings = policy.settings_for(
        f"i{number}", "r1", "z1", site=workload.ICE_WORKS, requests_per_slot=1.25
    )
    fleet = fleets.Fleet(1, make_settings=lambda *_: settings)
    return fleet.add(f"i{number}", "r1", "z1").decisions


def make_entry(spec: entry.Spec, version: int = 1) -> entry.Entry:
    """Return a configuration entry that holds a resource."""
    kind = entry.kind_of(spec)
    return entry.Entry(kind=kind, name=spec.name, version=version, write_id="s", spec=spec)


def make_account_entries(count: int) -> list[entry.Entry]:
    """Return entries of client accounts, each with an API key and a rate."""
    specs: list[entry.Spec] = []
    for n in range(count):
        name = f"account-{n}"
        specs.append(account.Account(name=name, residency=("r1", "r2")))
        specs.append(key.Key(name=name, account=name, digest=key.digest_of(name)))
        specs.append(rate.Rate(name=name, tokens_per_s=1000, burst_tokens=10000))
    return [make_entry(spec) for spec in specs]


def make_upstream_entries(count: int) -> list[entry.Entry]:
    """Return entries of upstreams in region r1, spread over ten services."""
    return [
        make_entry(
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


def make_instance_infos(count: int, *, zones: int = 18) -> list[peers.InstanceInfo]:
    """Return records of instances, spread over the zones and five regions."""
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


def allocated_bytes(build: typing.Callable[[], typing.Any]) -> float:
    """Call a function and return the bytes still allocated when it has returned.

    The result of the call is kept until the measurement, so that it counts too.
    """
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return float(after - before)


def min_cpu_seconds(function: typing.Callable[[], None], *, calls: int) -> float:
    """Return the processor time of one call in seconds.

    Each repeat averages over a number of calls; the fastest repeat is returned.
    """

    def seconds_per_call() -> float:
        started_at = time.process_time()
        for _ in range(calls):
            function()
        return (time.process_time() - started_at) / calls

    return min(seconds_per_call() for _ in range(REPEATS))


def measure_memory() -> list[Slope]:
    """Return how memory grows with accounts, upstreams, slices, instances and operations."""
    sizes = [100, 200, 400, 600]

    def catalog_bytes(entries: typing.Callable[[int], list[entry.Entry]], count: int) -> float:
        decisions = make_gateway()
        return allocated_bytes(lambda: decisions.config.merge_entries(entries(count)))

    def slice_record_bytes(count: int) -> float:
        decisions = make_gateway()
        decisions.config.merge_entries(make_account_entries(count))

        def apply_records() -> None:
            for n in range(count):
                record = slice_controller.slice_record.Record(
                    account=f"account-{n}",
                    holders={f"instance-{i}~0000000{i}": 100000 for i in range(10)},
                    write_id="0" * 32,
                    revision=n + 1,
                )
                decisions.slices.apply_record(record, 0.0)

        return allocated_bytes(apply_records)

    def member_bytes(count: int) -> float:
        decisions = make_gateway()

        def record_all() -> None:
            for info in make_instance_infos(count):
                decisions.members._record_info(info, 0.0)

        return allocated_bytes(record_all)

    def operation_bytes(count: int) -> float:
        decisions = make_gateway()

        def begin_operations() -> None:
            for n in range(count):
                operation_key = decisions.operations.mint_key("account-1", 0.0)
                decisions.operations.begin(
                    "account-1",
                    operation_key,
                    digest="0" * 32,
                    request_id=f"r-{n:032x}",
                    expires_at=1e9,
                )

        return allocated_bytes(begin_operations)

    def upstream_state_bytes(count: int) -> float:
        decisions = make_gateway()

        def record_all() -> None:
            for n in range(count):
                decisions.upstream_states.record_report(_make_load_report(n), 0.0)

        return allocated_bytes(record_all)

    measurements = [
        (
            "state of an account with key and rate",
            "bytes",
            lambda n: catalog_bytes(make_account_entries, n),
        ),
        (
            "state of an upstream in the catalog",
            "bytes",
            lambda n: catalog_bytes(make_upstream_entries, n),
        ),
        ("state of a slice record of ten holders", "bytes", slice_record_bytes),
        ("state of a known instance", "bytes", member_bytes),
        ("state of an idempotency key", "bytes", operation_bytes),
        ("state of an upstream's load and health", "bytes", upstream_state_bytes),
    ]
    return [
        Slope(name, unit=unit, sizes=sizes, values=[function(n) for n in sizes])
        for name, unit, function in measurements
    ]


def _make_load_report(number: int) -> peers.LoadReport:
    """Return a load report of the upstream with a number."""
    return peers.LoadReport(
        upstream=f"up-{number}", running=4, waiting=0, sequence=9, leaving=False, age_ms=500
    )


def make_loaded_gateway(*, instances: int, accounts: int, upstreams: int) -> gateway.Gateway:
    """Return decision objects whose state holds this many instances, accounts and upstreams."""
    decisions = make_gateway()
    decisions.config.merge_entries(
        make_account_entries(accounts) + make_upstream_entries(upstreams)
    )
    for info in make_instance_infos(instances):
        decisions.members._record_info(info, 0.0)
    for n in range(upstreams):
        decisions.upstream_states.record_report(_make_load_report(n), 0.0)
    decisions.take_commands(0.0)
    return decisions


def measure_time() -> list[Slope]:
    """Return how the time of a tick, and the time and bytes of a heartbeat, grow."""
    measured_slopes = []
    for label, sizes, options in (
        ("instances", [50, 100, 200, 380], {"accounts": 50, "upstreams": 30}),
        ("accounts", [100, 200, 400, 590], {"instances": 50, "upstreams": 30}),
        ("upstreams", [30, 60, 120, 240], {"instances": 50, "accounts": 50}),
    ):
        gateways = [make_loaded_gateway(**options, **{label: size}) for size in sizes]
        measured_slopes.append(
            Slope(
                f"processor time of a tick, by {label}",
                unit="s",
                sizes=sizes,
                values=[min_cpu_seconds(lambda d=d: _tick(d), calls=20) for d in gateways],
            )
        )
        measured_slopes.append(
            Slope(
                f"bytes of a heartbeat, by {label}",
                unit="bytes",
                sizes=sizes,
                values=[float(_heartbeat_bytes(d)) for d in gateways],
            )
        )
        measured_slopes.append(
            Slope(
                f"processor time of a heartbeat, by {label}",
                unit="s",
                sizes=sizes,
                values=[
                    min_cpu_seconds(lambda d=d: _heartbeat_bytes(d), calls=20) for d in gateways
                ],
            )
        )
    return measured_slopes


def _tick(decisions: gateway.Gateway) -> None:
    """Run one tick; all members count as just seen, so that none becomes unreachable."""
    for member in decisions.members.members.values():
        member.last_seen_at = 0.0
    decisions.tick(0.0)
    decisions.take_commands(0.0)


def _heartbeat_bytes(decisions: gateway.Gateway) -> int:
    """Make and encode a heartbeat for the first known member; return its size in bytes."""
    receiver = next(iter(decisions.members.members))
    heartbeat = decisions.gossip.make_heartbeat(receiver, 0.0)
    return len(codec.to_envelope(heartbeat, stamp=1).SerializeToString())


def measure_requests() -> list[Slope]:
    """Return how the processor time of the decisions grows with the number of requests."""
    bench = policy.CaseRun(
        policy.BenchmarkCase(
            site=workload.DOORS, scenario="steady", policy="ours", rules={}, seed=policy.SEED
        )
    )
    bench.fleet.run(8.0)
    instance = bench.fleet.alive()[0]
    sizes, values = [200, 400, 800], []
    for count in sizes:
        planned_arrivals = workload.generate_arrivals(
            workload.DOORS, workload.LoadProfile(requests_per_s=count), seed=1, seconds=1.0
        )[:count]
        requests = [
            workload._build_request(arrival, workload.DOORS, random.randrange(10**9), 1e6)
            for arrival in planned_arrivals
        ]
        started_at = time.process_time()
        for request in requests:
            now = instance.local_time(bench.fleet.now)
            instance.decisions.begin(request, None, now)
            instance.decisions.take_commands(now)
        values.append(time.process_time() - started_at)
    name = "decisions' processor time of a request up to its dispatch or queue"
    return [Slope(name, unit="s", sizes=sizes, values=values)]


def measure_propagation() -> list[Slope]:
    """Return the time until all instances have applied a change, by number of instances.

    One instance publishes the change, which is also written to the store. The time is
    virtual, and a measurement ends after 30 seconds at the latest.
    """
    sizes, values = [12, 24, 48, 96], []
    for count in sizes:
        fleet = fleets.Fleet(
            5,
            make_settings=lambda name, region, zone: policy.settings_for(
                name, region, zone, site=workload.ICE_WORKS, requests_per_slot=1.25
            ),
        )
        fleet.net.store_region = "r1"
        for info in make_instance_infos(count, zones=6):
            fleet.add(info.instance.partition("~")[0], info.region, info.zone)
        fleet.load(make_account_entries(2))
        fleet.run(12.0)
        updated_entry = make_entry(
            rate.Rate(name="account-1", tokens_per_s=7, burst_tokens=70), version=2
        )
        started_at = fleet.now
        publisher = fleet.alive()[0]
        _publish(fleet, publisher, updated_entry)
        fleet.store.revision += 1
        fleet.store.put(fleets.store.Put("config/rate/account-1", _encode_entry(updated_entry)))
        while (
            not all(_has_new_rate(i.decisions) for i in fleet.alive())
            and fleet.now < started_at + 30
        ):
            fleet.run(0.05)
        values.append(fleet.now - started_at)
    name = "virtual time until a change is in force everywhere, by instances"
    return [Slope(name, unit="s", sizes=sizes, values=values)]


def _publish(
    fleet: fleets.Fleet, instance: instances.Instance, resource_entry: entry.Entry
) -> None:
    """Merge an entry on one instance, which pushes the entry to its peers."""
    fleet.run_on(instance, lambda now: instance.decisions.config.merge_and_push([resource_entry]))


def _encode_entry(resource_entry: entry.Entry) -> bytes:
    """Return an entry as the bytes that the store holds."""
    return fleets.resources.entry_to_bytes(resource_entry)


def _has_new_rate(decisions: gateway.Gateway) -> bool:
    """Return whether an instance has applied the changed rate of account-1."""
    rate_limit = decisions.config.catalog.rate("account-1")
    return rate_limit is not None and rate_limit.tokens_per_s == 7


async def measure_processes() -> list[dict[str, typing.Any]]:
    """Return the figures of the process benchmark: processor time, memory and store calls."""
    from benchmarks import process

    return await process.measure()


def main() -> int:
    """Measure all slopes, print them and write them to the results file."""
    slopes = [*measure_memory(), *measure_time(), *measure_requests(), *measure_propagation()]
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
