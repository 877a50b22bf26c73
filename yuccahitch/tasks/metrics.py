"""Metrics of one instance: counters, gauges, and latencies in HDR histograms."""

from __future__ import annotations

import typing

import prometheus_client
from hdrh import histogram
from prometheus_client import metrics_core

PREFIX = "yuccahitch_"
# Range and precision of the latency histograms; latencies outside the range are clamped to it.
MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
# Size of a histogram's counters; the counts of one instance stay below 2**31.
HISTOGRAM_COUNTER_BYTES = 4
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9)
# Maximum number of label sets of a metric; further ones are combined under OTHER_LABEL_VALUE.
MAX_SERIES_PER_METRIC = 64
OTHER_LABEL_VALUE = "other"

# Names and values of labels, sorted by name.
Labels = tuple[tuple[str, str], ...]
# A value, or a value for each ``state`` label.
GaugeValue = float | dict[str, float]


class Metrics:
    """Collects metrics and renders them in the text format of Prometheus.

    Attributes:
        counters: Counts by metric name and labels.
        gauges: Functions that return the current value, by metric name; one that returns a
            dictionary gives a value for each ``state`` label.
        latencies: Histograms of latencies in microseconds, by metric name and labels.
    """

    __slots__ = ("counters", "gauges", "latencies")

    def __init__(self) -> None:
        self.counters: dict[str, dict[Labels, int]] = {}
        self.gauges: dict[str, typing.Callable[[], GaugeValue]] = {}
        self.latencies: dict[str, dict[Labels, histogram.HdrHistogram]] = {}

    def count(self, name: str, *, increment: int = 1, **labels: str) -> None:
        """Add an increment to the counter of a metric and its labels."""
        series = self.counters.setdefault(name, {})
        series_key = _series_key(series, labels)
        series[series_key] = series.get(series_key, 0) + increment

    def record_latency(self, name: str, seconds: float, **labels: str) -> None:
        """Record a latency, in seconds, in the histogram of a metric and its labels."""
        series = self.latencies.setdefault(name, {})
        series_key = _series_key(series, labels)
        if series_key not in series:
            series[series_key] = histogram.HdrHistogram(
                MIN_LATENCY_US,
                MAX_LATENCY_US,
                SIGNIFICANT_DIGITS,
                word_size=HISTOGRAM_COUNTER_BYTES,
            )
        series[series_key].record_value(
            min(MAX_LATENCY_US, max(MIN_LATENCY_US, int(seconds * 1e6)))
        )

    def render(self) -> str:
        """Return all metrics in the text format of Prometheus."""
        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return prometheus_client.generate_latest(registry).decode()

    def collect(self) -> typing.Iterator[metrics_core.Metric]:
        """Yield all metrics; called by the registry of ``prometheus_client``."""
        yield from (_counter_metric(name, series) for name, series in sorted(self.counters.items()))
        yield from (
            _gauge_metric(name, read_value()) for name, read_value in sorted(self.gauges.items())
        )
        yield from (
            _summary_metric(name, series) for name, series in sorted(self.latencies.items())
        )


def _series_key(series: dict[Labels, typing.Any], labels: dict[str, str]) -> Labels:
    """Return the key of a label set, or the combined key if there are too many label sets."""
    series_key = tuple(sorted(labels.items()))
    if series_key in series or len(series) < MAX_SERIES_PER_METRIC:
        return series_key
    return tuple((name, OTHER_LABEL_VALUE) for name, _ in series_key)


def _counter_metric(name: str, series: dict[Labels, int]) -> metrics_core.Metric:
    """Return a counter with a sample for each label set."""
    metric = metrics_core.Metric(PREFIX + name, name.replace("_", " "), "counter")
    for labels, value in sorted(series.items()):
        metric.add_sample(f"{PREFIX}{name}_total", dict(labels), value)
    return metric


def _gauge_metric(name: str, value: GaugeValue) -> metrics_core.Metric:
    """Return a gauge with one sample, or with a sample for each ``state``."""
    metric = metrics_core.Metric(PREFIX + name, name.replace("_", " "), "gauge")
    values = value if type(value) is dict else {"": value}
    for state, state_value in sorted(values.items()):
        metric.add_sample(PREFIX + name, {"state": state} if state else {}, state_value)
    return metric


def _summary_metric(name: str, series: dict[Labels, histogram.HdrHistogram]) -> metrics_core.Metric:
    """Return a summary with quantiles, count and sum in seconds for each label set."""
    metric_name = f"{PREFIX}{name}_seconds"
    metric = metrics_core.Metric(metric_name, name.replace("_", " "), "summary")
    for labels, latencies in sorted(series.items()):
        for percentile in PERCENTILES:
            quantile_labels = dict(labels) | {"quantile": f"{percentile / 100:g}"}
            seconds = latencies.get_value_at_percentile(percentile) / 1e6
            metric.add_sample(metric_name, quantile_labels, seconds)
        count = latencies.get_total_count()
        metric.add_sample(metric_name + "_count", dict(labels), count)
        metric.add_sample(
            metric_name + "_sum", dict(labels), latencies.get_mean_value() * count / 1e6
        )
    return metric
