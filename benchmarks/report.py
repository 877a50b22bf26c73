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
PLOTS = ROOT / "docs" / "plots"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
BOUND_PREFIX = "bound: "
PERCENTILES = (10, 25, 50, 75, 90, 95, 99, 99.9)
BASELINES = ("round robin", "least outstanding", "nearest only")
FAULTS = ("lost", "parted", "cold", "poison")
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
    """A goal with what was measured."""

    __slots__ = ("name", "goal", "measured", "met")

    def __init__(self, name: str, *, goal: float, measured: float, met: bool) -> None:
        self.name = name
        self.goal = goal
        self.measured = measured
        self.met = met

    def __str__(self) -> str:
        verdict = "met" if self.met else "MISSED"
        return f"{verdict}: {self.name}: goal {self.goal:.4g}, measured {self.measured:.4g}"


class Table:
    """Means over the seeds, by site, scenario and policy."""

    __slots__ = ("figures",)

    def __init__(self, figures: Figures) -> None:
        self.figures = figures

    def mean(self, site: str, scenario: str, policy: str, name: str) -> float:
        """Return the mean of a figure over the seeds."""
        wanted = (site, scenario, policy)
        found = [f[name] for f in self.figures if (f["site"], f["scenario"], f["policy"]) == wanted]
        return statistics.fmean(found) if found else float("nan")

    def best(self, site: str, scenario: str, name: str) -> float:
        """Return the best baseline's figure, the smaller the better."""
        return min(self.mean(site, scenario, policy, name) for policy in BASELINES)

    def names(self, name: str) -> list[str]:
        """Return the values of a column in the order of their appearance."""
        return list(dict.fromkeys(f[name] for f in self.figures))


def bounds(table: Table) -> list[Bound]:
    """Return all goals for our policy with what was measured."""
    return [bound for site in table.names("site") for bound in _site_bounds(table, site)]


def _site_bounds(table: Table, site: str) -> typing.Iterator[Bound]:
    for scenario in ("peaks", "cold"):
        goal = table.best(site, scenario, "ttft_p99_s") / 2
        yield _at_most(table, site, scenario, "ttft_p99_s", goal)
    for scenario in ("steady", "peaks"):
        yield _at_most(
            table, site, scenario, "cost_per_1k", table.best(site, scenario, "cost_per_1k")
        )
        yield _at_most(table, site, scenario, "refused", 0.0)
    yield _at_most(table, site, "steady", "spilled", 0.02)
    for scenario in FAULTS:
        yield _at_most(table, site, scenario, "refused", 0.001)
    yield _at_least(table, site, "greedy", "worst_account", 0.9)
    names = table.names("scenario")
    peak = max(table.mean(site, name, "ours", "goodput_tokens_s") for name in names)
    for scenario in ("over2", "over10"):
        yield _at_least(table, site, scenario, "goodput_tokens_s", 0.9 * peak)
        yield _at_most(table, site, scenario, "retry_share", 0.1)


def _at_most(table: Table, site: str, scenario: str, name: str, goal: float) -> Bound:
    measured = table.mean(site, scenario, "ours", name)
    label = f"{site} {scenario} {name} at most"
    return Bound(label, goal=goal, measured=measured, met=measured <= goal + 1e-9)


def _at_least(table: Table, site: str, scenario: str, name: str, goal: float) -> Bound:
    measured = table.mean(site, scenario, "ours", name)
    label = f"{site} {scenario} {name} at least"
    return Bound(label, goal=goal, measured=measured, met=measured >= goal - 1e-9)


def markdown(table: Table) -> str:
    """Return the table of all figures."""
    head = "| site | scenario | policy | " + " | ".join(title for _, title in COLUMNS) + " |"
    rule = "| --- | --- | --- |" + " --- |" * len(COLUMNS)
    rows = [
        f"| {site} | {scenario} | {policy} | "
        + " | ".join(f"{table.mean(site, scenario, policy, name):.3g}" for name, _ in COLUMNS)
        + " |"
        for site in table.names("site")
        for scenario in table.names("scenario")
        for policy in table.names("policy")
        if table.mean(site, scenario, policy, "requests") > 0
    ]
    return "\n".join([head, rule, *rows])


def plots(table: Table) -> None:
    """Write the plots."""
    PLOTS.mkdir(exist_ok=True)
    for site in table.names("site"):
        _plot_latency(table, site)
        _plot_worst(table, site)
        _plot_shares(table, site)


def _plot_latency(table: Table, site: str) -> None:
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for policy in (*BASELINES, "ours"):
        found = [
            f
            for f in table.figures
            if (f["site"], f["scenario"], f["policy"]) == (site, "peaks", policy)
        ]
        axes.plot(PERCENTILES, found[0]["latencies_s"], marker="o", label=policy)
    axes.set(
        xlabel="percentile", ylabel="first token, seconds", yscale="log", title=f"{site}: peaks"
    )
    axes.legend()
    _save(figure, f"{site}-latency")


def _plot_worst(table: Table, site: str) -> None:
    figure, axes = pyplot.subplots(figsize=(7, 4))
    policies = (*BASELINES, "ours")
    shares = [table.mean(site, "greedy", policy, "worst_account") for policy in policies]
    axes.bar(policies, shares)
    axes.axhline(0.9, color="grey", linestyle="--")
    axes.set(
        ylabel="share of what it asked", title=f"{site}: worst-served account, one asks five times"
    )
    _save(figure, f"{site}-worst")


def _plot_shares(table: Table, site: str) -> None:
    figure, axes = pyplot.subplots(figsize=(7, 4))
    found = [
        f
        for f in table.figures
        if (f["site"], f["scenario"], f["policy"]) == (site, "lost", "ours")
    ]
    for region, counts in sorted(found[0]["shares"].items()):
        axes.plot(range(len(counts)), counts, marker="o", label=region)
    axes.set(xlabel="tenth of the run", ylabel="requests", title=f"{site}: a region lost for 40 s")
    axes.legend()
    _save(figure, f"{site}-regions")


def _save(figure: typing.Any, name: str) -> None:
    figure.tight_layout()
    figure.savefig(PLOTS / f"{name}.png", dpi=80, metadata={"Software": None})
    pyplot.close(figure)


def known_misses() -> set[str]:
    """Return the bounds that are recorded as missed."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix(BOUND_PREFIX) for line in lines if line.startswith(BOUND_PREFIX)}


def finish(figures: Figures, *, name: str) -> int:
    """Write table and plots, print the bounds, and return the exit code."""
    table = Table(figures)
    checked = bounds(table)
    listed = "\n".join(f"- {bound}" for bound in checked)
    text = f"## Bounds\n\n{listed}\n\n## Figures\n\n{markdown(table)}\n"
    (ROOT / "benchmarks" / "results" / f"{name}.md").write_text(text)
    plots(table)
    known = known_misses()
    for bound in checked:
        if not bound.met:
            print(f"{bound}{' (known)' if bound.name in known else ''}")
    unexpected = [bound for bound in checked if not bound.met and bound.name not in known]
    print(f"{sum(b.met for b in checked)} bounds met, {len(unexpected)} broken")
    return 1 if unexpected else 0
