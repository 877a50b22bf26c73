"""Measures what streams with a known origin cost an instance and the store.

Run as ``python -m benchmarks.origin_slopes``. Prints slope, intercept and fit, and writes
benchmarks/results/origin_slopes.json.
"""

from __future__ import annotations

import json
import pathlib
import random
import sys
import tracemalloc
import typing

from benchmarks import slopes
from tests import stream_builders
from yuccahitch.codecs import stream_batches as codec
from yuccahitch.controllers.versions import stream_origin, stream_origins, stream_records
from yuccahitch.messages import store

RESULTS = pathlib.Path(__file__).parent / "results" / "origin_slopes.json"
BATCH_SIZES = [16, 32, 64, 128]
BATCH_COUNTS = [50, 100, 200, 400]
STREAM_COUNTS = [500, 1000, 2000, 4000]


def make_batch(size: int, rng: random.Random) -> bytes:
    """Return a batch of streams of two versions."""
    origins = [
        stream_origin.Origin("model", version, source=stream_origin.Source.OWN)
        for version in ("v1", "v2")
    ]
    streams = [
        stream_origins.OwnStream(rng.getrandbits(64), origins[number % 2]) for number in range(size)
    ]
    return codec.to_bytes(stream_origins.group_by_origin(streams))


def make_records(batches: int) -> stream_records.StreamRecords:
    """Return what an instance knows after some full batches of others."""
    rng = random.Random(5)
    records = stream_records.StreamRecords("own")
    for number in range(batches):
        value = make_batch(stream_origins.BATCH_STREAMS, rng)
        item = store.KeyValue(key=f"other/{number}", value=value, revision=number + 1)
        records.apply_change(item.key, item, 0.0)
    records.take_news()
    return records


def own_bytes(count: int) -> float:
    """Return the memory of an instance's own open streams."""
    origins = stream_builders.an_edge().decisions.origins

    def begin_all(streams: int) -> stream_origins.StreamOrigins:
        for key in range(streams):
            origins.begin(key * 2**40, "model", "v1")
        return origins

    return allocated_bytes(begin_all, count)


def allocated_bytes(make: typing.Callable[[int], typing.Any], count: int) -> float:
    """Return the memory that is allocated while something is made."""
    tracemalloc.start()
    kept = make(count)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert kept is not None
    return float(size)


def main() -> int:
    """Measure the slopes, print them and write them to the results file."""
    rng = random.Random(7)
    known = [make_records(count) for count in BATCH_COUNTS]
    batch_sizes = [float(len(make_batch(size, rng))) for size in BATCH_SIZES]
    find_times = [
        slopes.min_cpu_seconds(lambda r=records: r.find(1), calls=50) for records in known
    ]
    known_bytes = [allocated_bytes(make_records, count) for count in BATCH_COUNTS]
    own_sizes = [own_bytes(count) for count in STREAM_COUNTS]
    all_slopes = [
        slopes.Slope(name, unit=unit, sizes=sizes, values=values)
        for name, unit, sizes, values in (
            ("bytes of a batch by its streams", "bytes", BATCH_SIZES, batch_sizes),
            ("processor time of finding no origin by full batches", "s", BATCH_COUNTS, find_times),
            ("memory of full batches", "bytes", BATCH_COUNTS, known_bytes),
            ("memory of own streams", "bytes", STREAM_COUNTS, own_sizes),
        )
    ]
    for slope in all_slopes:
        print(slope)
    RESULTS.write_text(json.dumps([slope.as_dict() for slope in all_slopes], indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
