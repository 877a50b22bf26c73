"""Measures what crashes of upstreams cost an instance, by the requests that ran there.

Run as ``python -m benchmarks.suspect_slopes``. Prints slope, intercept and fit, and writes
benchmarks/results/suspect_slopes.json.
"""

from __future__ import annotations

import json
import pathlib
import sys

from benchmarks import slopes
from tests import builders
from yuccahitch.codecs import suspects as codec
from yuccahitch.controllers.runs import suspects

RESULTS = pathlib.Path(__file__).parent / "results" / "suspect_slopes.json"
REQUESTS_PER_CRASH = [8, 16, 32, 64]
CRASHES = 10
# Time of the searches, after all crashes have settled, in seconds.
SEARCHED_AT = 20.0


def make_table(requests_per_crash: int, crashes: int = CRASHES) -> suspects.Suspects:
    """Return a table of crashes, at each of which other requests with two shared parts ran."""
    table = suspects.Suspects(crash_limit=3, memory_s=120.0)
    for crash in range(crashes):
        for number in range(requests_per_crash):
            name = f"{crash}-{number}"
            request = builders.a_suspect_request(name, f"first {name}", f"second {name}")
            table.record_crash(request, f"u{crash}", crash * 1.5)
    return table


def main() -> int:
    """Measure the slopes, print them and write them to the results file."""
    tables = [make_table(size) for size in REQUESTS_PER_CRASH]
    search_times = [
        slopes.min_cpu_seconds(lambda t=table: t.search(SEARCHED_AT), calls=5) for table in tables
    ]
    report_sizes = [
        float(codec.to_protobuf(make_table(size, crashes=1).make_report(0.5)).ByteSize())
        for size in REQUESTS_PER_CRASH
    ]
    lookup_times = [
        slopes.min_cpu_seconds(lambda t=table: t.refused_trait((1, 2, 3), 0.0), calls=1000)
        for table in tables
    ]
    all_slopes = [
        slopes.Slope(name, unit=unit, sizes=REQUESTS_PER_CRASH, values=values)
        for name, unit, values in (
            (f"processor time of a search over {CRASHES} crashes", "s", search_times),
            ("bytes of a report of one crash", "bytes", report_sizes),
            ("processor time of looking up a request's traits", "s", lookup_times),
        )
    ]
    for slope in all_slopes:
        print(slope)
    RESULTS.write_text(json.dumps([slope.as_dict() for slope in all_slopes], indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
