"""The process benchmark: real processes on loopback, idle and under load.

Run as ``python -m benchmarks.process``. Added latency is the difference between runs through an
instance and straight at an engine, in the same session.
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
IDLE_S = 8.0
LOAD_S = 8.0
ENTRY = "muscat-a-1"
ACCOUNT_KEY = "example-key-sahil-rinks"
TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
GOALS = (
    ("idle core share", "idle_core_share", 0.047),
    ("idle memory MB", "idle_rss_mb", 64.0),
    ("idle control bytes a second", "idle_peer_bytes_s", 5000.0),
    ("added p50 ms at 50 requests a second", "added_p50_ms", 2.0),
    ("added p99 ms at 50 requests a second", "added_p99_ms", 10.0),
    ("core share at 2,200 tokens and 10 requests a second", "stream_core_share", 0.25),
)


def cpu_s(pid: int) -> float:
    """Return the processor time that a process used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


async def measure() -> list[dict[str, typing.Any]]:
    """Run all parts and return their figures."""
    world = deployment.Deployment(ROOT / "examples" / "ice-works", ROOT / ".run" / "bench")
    try:
        await world.start_standins()
        await world.start_all()
        await world.wait_until_discovered()
        await world.apply(ENTRY)
        await world.wait_until_synchronized()
        await asyncio.sleep(4.0)
        return [await _idle(world), await _latency(world), await _streams(world)]
    finally:
        await world.close()


async def _spent(
    world: deployment.Deployment, seconds: float, work: typing.Awaitable[typing.Any]
) -> tuple[dict[str, float], typing.Any]:
    pid = world.processes[ENTRY].pid
    names = ("peer_bytes", "peer_messages", "store_calls")
    before = {name: await world.metric(ENTRY, name) for name in names}
    cpu = cpu_s(pid)
    result = await work
    used = {
        f"{name}_s": (await world.metric(ENTRY, name) - before[name]) / seconds for name in names
    }
    return used | {"core_share": (cpu_s(pid) - cpu) / seconds, "rss_mb": rss_mb(pid)}, result


async def _idle(world: deployment.Deployment) -> dict[str, typing.Any]:
    used, _ = await _spent(world, IDLE_S, asyncio.sleep(IDLE_S))
    return {f"idle_{name}": value for name, value in used.items()}


async def _latency(world: deployment.Deployment) -> dict[str, typing.Any]:
    engine = world.standin_urls("engine")["ice-model-1"]
    options = {"model": "ice-model", "rate": 50.0, "seconds": LOAD_S, "tokens": 4}
    direct = await load.run(engine, ACCOUNT_KEY, **options)
    used, through = await _spent(world, LOAD_S, load.run(world.url(ENTRY), ACCOUNT_KEY, **options))
    one, two = direct.figures(), through.figures()
    return {
        "added_p50_ms": two["first_p50_ms"] - one["first_p50_ms"],
        "added_p99_ms": two["first_p99_ms"] - one["first_p99_ms"],
        "direct": one,
        "through": two,
        "load_core_share": used["core_share"],
        "load_rss_mb": used["rss_mb"],
    }


async def _streams(world: deployment.Deployment) -> dict[str, typing.Any]:
    options = {"model": "ice-model", "rate": 10.0, "seconds": LOAD_S, "tokens": 220}
    used, outcome = await _spent(world, LOAD_S, load.run(world.url(ENTRY), ACCOUNT_KEY, **options))
    figures = outcome.figures()
    busy = used["core_share"]
    return {
        "stream_core_share": busy,
        "stream_tokens_s": figures["tokens"] / LOAD_S,
        "stream_tokens_per_core_s": figures["tokens"] / LOAD_S / max(busy, 1e-9),
        "stream_rss_mb": used["rss_mb"],
        "stream": figures,
    }


def main() -> int:
    """Run, print, write and compare with the goals; a miss is printed, not hidden."""
    parts = asyncio.run(measure())
    figures = {name: value for part in parts for name, value in part.items()}
    RESULTS.write_text(json.dumps(figures, indent=1) + "\n")
    print(json.dumps(figures, indent=1))
    for label, name, goal in GOALS:
        verdict = "met" if figures[name] <= goal else "MISSED"
        print(f"{verdict}: {label}: goal {goal}, measured {figures[name]:.4g}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
