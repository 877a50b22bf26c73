"""Process benchmark: measures real processes on loopback addresses, idle and under load.

Run as ``python -m benchmarks.process``. Added latency is the latency of requests through an
instance minus that of requests sent directly to an engine, in the same session.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import sys
import typing

from benchmarks import load
from standins import deployment

ROOT = pathlib.Path(__file__).parent.parent
RESULTS = pathlib.Path(__file__).parent / "results" / "process.json"
IDLE_DURATION_S = 8.0
LOAD_DURATION_S = 8.0
# The instance that is measured and that receives the requests.
ENTRY_INSTANCE = "muscat-a-1"
ACCOUNT_KEY = "example-key-sahil-rinks"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Label, name of the figure and upper limit of each goal.
GOALS = (
    ("idle core share", "idle_core_share", 0.047),
    ("idle memory MB", "idle_rss_mb", 64.0),
    ("idle control bytes a second", "idle_peer_bytes_s", 5000.0),
    ("added p50 ms at 50 requests a second", "added_p50_ms", 2.0),
    ("added p99 ms at 50 requests a second", "added_p99_ms", 10.0),
    ("core share at 2,200 tokens and 10 requests a second", "stream_core_share", 0.25),
)


def cpu_seconds(pid: int) -> float:
    """Return the user and system processor time of a process so far, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


async def measure() -> list[dict[str, typing.Any]]:
    """Start the example deployment, run the three phases and return the figures of each."""
    cluster = deployment.Deployment(ROOT / "examples" / "ice-works", ROOT / ".run" / "bench")
    try:
        await cluster.start_standins()
        await cluster.start_all()
        await cluster.wait_until_discovered()
        await cluster.apply(ENTRY_INSTANCE)
        await cluster.wait_until_synchronized()
        await asyncio.sleep(4.0)
        return [
            await _measure_idle(cluster),
            await _measure_latency(cluster),
            await _measure_streams(cluster),
        ]
    finally:
        await cluster.close()


async def _measure_usage(
    cluster: deployment.Deployment, seconds: float, workload: typing.Awaitable[typing.Any]
) -> tuple[dict[str, float], typing.Any]:
    """Await a workload of a known duration; return the resources used and its result.

    Counters and processor time are per second of the duration; memory is read at the end.
    """
    pid = cluster.processes[ENTRY_INSTANCE].pid
    counters = ("peer_bytes", "peer_messages", "store_calls")
    counters_before = {name: await cluster.metric(ENTRY_INSTANCE, name) for name in counters}
    cpu_before = cpu_seconds(pid)
    result = await workload
    usage = {
        f"{name}_s": (await cluster.metric(ENTRY_INSTANCE, name) - counters_before[name]) / seconds
        for name in counters
    }
    return (
        usage
        | {"core_share": (cpu_seconds(pid) - cpu_before) / seconds, "rss_mb": resident_mb(pid)},
        result,
    )


async def _measure_idle(cluster: deployment.Deployment) -> dict[str, typing.Any]:
    """Return the resources that the instance uses without requests."""
    usage, _ = await _measure_usage(cluster, IDLE_DURATION_S, asyncio.sleep(IDLE_DURATION_S))
    return {f"idle_{name}": value for name, value in usage.items()}


async def _measure_latency(cluster: deployment.Deployment) -> dict[str, typing.Any]:
    """Return the latency that the instance adds at 50 requests per second of 4 tokens."""
    engine_url = cluster.standin_urls("engine")["ice-model-1"]
    options = {"model": "ice-model", "rate": 50.0, "seconds": LOAD_DURATION_S, "tokens": 4}
    direct_result = await load.run(engine_url, ACCOUNT_KEY, **options)
    usage, through_result = await _measure_usage(
        cluster, LOAD_DURATION_S, load.run(cluster.url(ENTRY_INSTANCE), ACCOUNT_KEY, **options)
    )
    direct_figures, through_figures = direct_result.figures(), through_result.figures()
    return {
        "added_p50_ms": through_figures["first_p50_ms"] - direct_figures["first_p50_ms"],
        "added_p99_ms": through_figures["first_p99_ms"] - direct_figures["first_p99_ms"],
        "direct": direct_figures,
        "through": through_figures,
        "load_core_share": usage["core_share"],
        "load_rss_mb": usage["rss_mb"],
    }


async def _measure_streams(cluster: deployment.Deployment) -> dict[str, typing.Any]:
    """Return throughput and resources at 10 requests per second, each streaming 220 tokens."""
    options = {"model": "ice-model", "rate": 10.0, "seconds": LOAD_DURATION_S, "tokens": 220}
    usage, load_result = await _measure_usage(
        cluster, LOAD_DURATION_S, load.run(cluster.url(ENTRY_INSTANCE), ACCOUNT_KEY, **options)
    )
    figures = load_result.figures()
    core_share = usage["core_share"]
    return {
        "stream_core_share": core_share,
        "stream_tokens_s": figures["tokens"] / LOAD_DURATION_S,
        "stream_tokens_per_core_s": figures["tokens"] / LOAD_DURATION_S / max(core_share, 1e-9),
        "stream_rss_mb": usage["rss_mb"],
        "stream": figures,
    }


def main() -> int:
    """Run the benchmark, write and print the figures, and print each goal as met or missed."""
    phases = asyncio.run(measure())
    figures = {name: value for phase in phases for name, value in phase.items()}
    RESULTS.write_text(json.dumps(figures, indent=1) + "\n")
    print(json.dumps(figures, indent=1))
    for label, name, goal in GOALS:
        verdict = "met" if figures[name] <= goal else "MISSED"
        print(f"{verdict}: {label}: goal {goal}, measured {figures[name]:.4g}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
