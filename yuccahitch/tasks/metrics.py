"""Figures of one instance: counters, and latencies in hdrhistograms."""

from __future__ import annotations

import typing

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
DIGITS = 2
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9)


class Metrics:
    """Collects figures and prints them in the text form of Prometheus."""

    __slots__ = ("counters", "gauges", "latencies")

    def __init__(self) -> None:
        self.counters: dict[tuple[str, str], int] = {}
        self.gauges: dict[str, typing.Callable[[], float]] = {}
        self.latencies: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, label: str = "", *, by: int = 1) -> None:
        """Add to a counter; the label is its ``code`` in the output."""
        self.counters[(name, label)] = self.counters.get((name, label), 0) + by

    def record(self, name: str, seconds: float) -> None:
        """Record a latency."""
        found = self.latencies.get(name)
        if found is None:
            found = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self.latencies[name] = found
        found.record_value(max(LOWEST_US, int(seconds * 1e6)))

    def text(self) -> str:
        """Return all figures."""
        lines = [
            (
                f'yuccahitch_{name}{{code="{label}"}} {value}'
                if label
                else f"yuccahitch_{name} {value}"
            )
            for (name, label), value in sorted(self.counters.items())
        ]
        lines += [f"yuccahitch_{name} {read():g}" for name, read in sorted(self.gauges.items())]
        for name, found in sorted(self.latencies.items()):
            lines += [
                f'yuccahitch_{name}_seconds{{quantile="{p / 100:g}"}} '
                f"{found.get_value_at_percentile(p) / 1e6:g}"
                for p in PERCENTILES
            ]
            lines.append(f"yuccahitch_{name}_seconds_count {found.get_total_count()}")
        return "\n".join(lines) + "\n"
