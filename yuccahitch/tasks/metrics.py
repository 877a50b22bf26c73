"""Figures of one instance: counters, gauges, and latencies in hdrhistograms."""

from __future__ import annotations

import typing

import prometheus_client
from hdrh import histogram
from prometheus_client import metrics_core

PREFIX = "yuccahitch_"
LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 2
# Bytes of a histogram's counters; a figure of one instance stays below 2 to the power of 31.
COUNTER_BYTES = 4
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9)
# Sets of labels of one figure; further ones are counted together under OTHER.
MAX_SERIES = 64
OTHER = "other"

Labels = tuple[tuple[str, str], ...]
Reading = float | dict[str, float]


class Metrics:
    """Collects figures and gives them out in the text form of Prometheus.

    Attributes:
        counters: Counts by name and labels.
        gauges: Readers by name; one that returns a dictionary gives a value for each ``state``.
        latencies: Histograms of microseconds by name and labels.
    """

    __slots__ = ("counters", "gauges", "latencies")

    def __init__(self) -> None:
        self.counters: dict[str, dict[Labels, int]] = {}
        self.gauges: dict[str, typing.Callable[[], Reading]] = {}
        self.latencies: dict[str, dict[Labels, histogram.HdrHistogram]] = {}

    def count(self, name: str, *, by: int = 1, **labels: str) -> None:
        """Add to a counter."""
        series = self.counters.setdefault(name, {})
        place = _place(series, labels)
        series[place] = series.get(place, 0) + by

    def record(self, name: str, seconds: float, **labels: str) -> None:
        """Record a latency."""
        series = self.latencies.setdefault(name, {})
        place = _place(series, labels)
        if place not in series:
            series[place] = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, DIGITS, word_size=COUNTER_BYTES
            )
        series[place].record_value(min(HIGHEST_US, max(LOWEST_US, int(seconds * 1e6))))

    def text(self) -> str:
        """Return all figures."""
        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return prometheus_client.generate_latest(registry).decode()

    def collect(self) -> typing.Iterator[metrics_core.Metric]:
        """Yield all figures as the library wants them."""
        yield from (_counter(name, series) for name, series in sorted(self.counters.items()))
        yield from (_gauge(name, read()) for name, read in sorted(self.gauges.items()))
        yield from (_summary(name, series) for name, series in sorted(self.latencies.items()))


def _place(series: dict[Labels, typing.Any], labels: dict[str, str]) -> Labels:
    place = tuple(sorted(labels.items()))
    if place in series or len(series) < MAX_SERIES:
        return place
    return tuple((name, OTHER) for name, _ in place)


def _counter(name: str, series: dict[Labels, int]) -> metrics_core.Metric:
    found = metrics_core.Metric(PREFIX + name, name.replace("_", " "), "counter")
    for labels, value in sorted(series.items()):
        found.add_sample(f"{PREFIX}{name}_total", dict(labels), value)
    return found


def _gauge(name: str, value: Reading) -> metrics_core.Metric:
    found = metrics_core.Metric(PREFIX + name, name.replace("_", " "), "gauge")
    values = value if type(value) is dict else {"": value}
    for state, number in sorted(values.items()):
        found.add_sample(PREFIX + name, {"state": state} if state else {}, number)
    return found


def _summary(name: str, series: dict[Labels, histogram.HdrHistogram]) -> metrics_core.Metric:
    full = f"{PREFIX}{name}_seconds"
    found = metrics_core.Metric(full, name.replace("_", " "), "summary")
    for labels, latencies in sorted(series.items()):
        for percentile in PERCENTILES:
            shown = dict(labels) | {"quantile": f"{percentile / 100:g}"}
            seconds = latencies.get_value_at_percentile(percentile) / 1e6
            found.add_sample(full, shown, seconds)
        count = latencies.get_total_count()
        found.add_sample(full + "_count", dict(labels), count)
        found.add_sample(full + "_sum", dict(labels), latencies.get_mean_value() * count / 1e6)
    return found
