"""Bounds, tables and plots of the policy benchmark."""

from __future__ import annotations

import pathlib
import statistics
import typing

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from yuccahitch import records  # noqa: E402

ROOT = pathlib.Path(__file__).parent.parent
PLOTS_DIRECTORY = ROOT / "docs" / "plots"
KNOWN_RED_FILE = ROOT / "KNOWN-RED.txt"
BOUND_PREFIX = "bound: "
PERCENTILES = (10, 25, 50, 75, 90, 95, 99, 99.9)
BASELINES = ("round robin", "least outstanding", "nearest only")
FAULT_SCENARIOS = ("lost", "parted", "cold", "poison")
COLUMNS = (
    ("ttft_p50_s", "p50 s"),
    ("ttft_p99_s", "p99 s"),
    ("short_p99_s", "short p99 s"),
    ("spilled", "other region"),
    ("refused", "refused"),
    ("late", "unfinished"),
    ("worst_account", "worst account"),
    ("cost_per_1k", "cost"),
    ("goodput_tokens_s", "tokens/s"),
    ("hits", "cache hits"),
    ("retry_share", "retries"),
)
Figures = list[dict[str, typing.Any]]


class Bound(records.Record):
    """A bound on a figure and the measured value.

    Attributes:
        name: Site, scenario, figure and direction, as listed in ``KNOWN-RED.txt``.
        goal: Limit of the figure, in its unit.
        measured: Mean of the figure over the seeds, in its unit.
        is_met: Whether the measured value is within the limit.
    """

    __slots__ = ("name", "goal", "measured", "is_met")

    def __init__(self, name: str, *, goal: float, measured: float, is_met: bool) -> None:
        self.name = name
        self.goal = goal
        self.measured = measured
        self.is_met = is_met

    def __str__(self) -> str:
        verdict = "met" if self.is_met else "MISSED"
        return f"{verdict}: {self.name}: goal {self.goal:.4g}, measured {self.measured:.4g}"


class FiguresTable:
    """Means of the figures over the seeds, by site, scenario and policy.

    Attributes:
        figures: One dictionary of figures for each run, as the policy benchmark writes them.
    """

    __slots__ = ("figures",)

    def __init__(self, figures: Figures) -> None:
        self.figures = figures

    def mean(self, site: str, scenario: str, policy: str, name: str) -> float:
        """Return the mean of a figure over the seeds; NaN if there was no such run."""
        selection = (site, scenario, policy)
        values = [
            row[name]
            for row in self.figures
            if (row["site"], row["scenario"], row["policy"]) == selection
        ]
        return statistics.fmean(values) if values else float("nan")

    def best_baseline(self, site: str, scenario: str, name: str) -> float:
        """Return the smallest mean of a figure among the baselines; smaller is better."""
        return min(self.mean(site, scenario, policy, name) for policy in BASELINES)

    def distinct_values(self, name: str) -> list[str]:
        """Return the distinct values of a key of the runs, in order of first appearance."""
        return list(dict.fromkeys(row[name] for row in self.figures))


def evaluate_bounds(table: FiguresTable) -> list[Bound]:
    """Compare our policy with all bounds, for each site."""
    return [bound for site in table.distinct_values("site") for bound in _site_bounds(table, site)]


def _site_bounds(table: FiguresTable, site: str) -> typing.Iterator[Bound]:
    for scenario in ("peaks", "cold"):
        goal = table.best_baseline(site, scenario, "ttft_p99_s") / 2
        yield _upper_bound(table, site, scenario, "ttft_p99_s", goal)
    for scenario in ("steady", "peaks"):
        yield _upper_bound(
            table, site, scenario, "cost_per_1k", table.best_baseline(site, scenario, "cost_per_1k")
        )
        yield _upper_bound(table, site, scenario, "refused", 0.0)
    yield _upper_bound(table, site, "steady", "spilled", 0.02)
    for scenario in FAULT_SCENARIOS:
        yield _upper_bound(table, site, scenario, "refused", 0.001)
    yield _lower_bound(table, site, "greedy", "worst_account", 0.9)
    scenarios = table.distinct_values("scenario")
    peak_goodput = max(
        table.mean(site, scenario_name, "ours", "goodput_tokens_s") for scenario_name in scenarios
    )
    for scenario in ("over2", "over10"):
        yield _lower_bound(table, site, scenario, "goodput_tokens_s", 0.9 * peak_goodput)
        yield _upper_bound(table, site, scenario, "retry_share", 0.1)


def _upper_bound(table: FiguresTable, site: str, scenario: str, name: str, goal: float) -> Bound:
    measured = table.mean(site, scenario, "ours", name)
    label = f"{site} {scenario} {name} at most"
    return Bound(label, goal=goal, measured=measured, is_met=measured <= goal + 1e-9)


def _lower_bound(table: FiguresTable, site: str, scenario: str, name: str, goal: float) -> Bound:
    measured = table.mean(site, scenario, "ours", name)
    label = f"{site} {scenario} {name} at least"
    return Bound(label, goal=goal, measured=measured, is_met=measured >= goal - 1e-9)


def markdown_table(table: FiguresTable) -> str:
    """Return a Markdown table of the mean figures; a row for each site, scenario and policy."""
    header = "| site | scenario | policy | " + " | ".join(title for _, title in COLUMNS) + " |"
    separator = "| --- | --- | --- |" + " --- |" * len(COLUMNS)
    rows = [
        f"| {site} | {scenario} | {policy} | "
        + " | ".join(f"{table.mean(site, scenario, policy, name):.3g}" for name, _ in COLUMNS)
        + " |"
        for site in table.distinct_values("site")
        for scenario in table.distinct_values("scenario")
        for policy in table.distinct_values("policy")
        if table.mean(site, scenario, policy, "requests") > 0
    ]
    return "\n".join([header, separator, *rows])


def write_plots(table: FiguresTable) -> None:
    """Write the plots of each site as PNG files to ``PLOTS_DIRECTORY``."""
    PLOTS_DIRECTORY.mkdir(exist_ok=True)
    for site in table.distinct_values("site"):
        _plot_latency(table, site)
        _plot_worst_account(table, site)
        _plot_region_counts(table, site)


def _plot_latency(table: FiguresTable, site: str) -> None:
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for policy in (*BASELINES, "ours"):
        matching_rows = [
            row
            for row in table.figures
            if (row["site"], row["scenario"], row["policy"]) == (site, "peaks", policy)
        ]
        axes.plot(PERCENTILES, matching_rows[0]["latencies_s"], marker="o", label=policy)
    axes.set(
        xlabel="percentile", ylabel="first token, seconds", yscale="log", title=f"{site}: peaks"
    )
    axes.legend()
    _save(figure, f"{site}-latency")


def _plot_worst_account(table: FiguresTable, site: str) -> None:
    figure, axes = pyplot.subplots(figsize=(7, 4))
    policies = (*BASELINES, "ours")
    shares = [table.mean(site, "greedy", policy, "worst_account") for policy in policies]
    axes.bar(policies, shares)
    axes.axhline(0.9, color="grey", linestyle="--")
    axes.set(
        ylabel="share of what it asked", title=f"{site}: worst-served account, one asks five times"
    )
    _save(figure, f"{site}-worst")


def _plot_region_counts(table: FiguresTable, site: str) -> None:
    figure, axes = pyplot.subplots(figsize=(7, 4))
    matching_rows = [
        row
        for row in table.figures
        if (row["site"], row["scenario"], row["policy"]) == (site, "lost", "ours")
    ]
    for region, counts in sorted(matching_rows[0]["shares"].items()):
        axes.plot(range(len(counts)), counts, marker="o", label=region)
    axes.set(xlabel="tenth of the run", ylabel="requests", title=f"{site}: a region lost for 40 s")
    axes.legend()
    _save(figure, f"{site}-regions")


def _save(figure: typing.Any, name: str) -> None:
    figure.tight_layout()
    figure.savefig(PLOTS_DIRECTORY / f"{name}.png", dpi=80, metadata={"Software": None})
    pyplot.close(figure)


def known_missed_bounds() -> set[str]:
    """Return the names of the bounds that ``KNOWN-RED.txt`` lists as missed."""
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {line.removeprefix(BOUND_PREFIX) for line in lines if line.startswith(BOUND_PREFIX)}


def write_report(figures: Figures, *, name: str) -> int:
    """Write the tables and plots and print the missed bounds.

    Returns the exit code: 1 if a bound is missed that ``KNOWN-RED.txt`` doesn't list, else 0.

    Args:
        figures: One dictionary of figures for each run.
        name: Name of the results page, without extension.
    """
    table = FiguresTable(figures)
    evaluated = evaluate_bounds(table)
    bound_list = "\n".join(f"- {bound}" for bound in evaluated)
    text = f"## Bounds\n\n{bound_list}\n\n## Figures\n\n{markdown_table(table)}\n"
    (ROOT / "benchmarks" / "results" / f"{name}.md").write_text(text)
    write_plots(table)
    known = known_missed_bounds()
    for bound in evaluated:
        if not bound.is_met:
            print(f"{bound}{' (known)' if bound.name in known else ''}")
    unexpected = [bound for bound in evaluated if not bound.is_met and bound.name not in known]
    print(f"{sum(b.is_met for b in evaluated)} bounds met, {len(unexpected)} broken")
    return 1 if unexpected else 0
