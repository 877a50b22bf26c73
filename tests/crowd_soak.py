"""Crowds of callers, signals and restarts over the platform's site, in a random series from a seed.

``python -m tests.crowd_soak FIRST_SEED COUNT`` plays seeds by hand. It checks from outside that no
process ends by itself or takes more than its machine has, that refusals are true, that no order
runs twice, and that every instance answers in the end.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import pathlib
import random
import signal
import sys
import time
import traceback

import aiohttp

from standins import deployment, platform_site
from tests import (
    event_coverage,
    hostile_callers,
    platform_builders,
    process_usage,
    slow_readers,
    watched_crowds,
)

MEMORY_MB, DESCRIPTORS = 160, 1000
PLACES = 100
ANSWER_BYTES, EVENT_BYTES, EVENTS = 1_000_000, 30_000, 60
# Length of a run, and how long crowds and troubles last, in seconds.
RUN_S = 25.0
CROWD_S = (3.0, 12.0)
TROUBLE_PAUSE_S = (0.5, 3.0)
FREEZE_S = (0.3, 3.0)
CROWD_SIZES = (20, 60, 150)
CALLERS = 6
CALLER_PAUSE_S = 0.05
# Every one of LARGE_EVERY seeds runs with many instances in each zone.
LARGE_EVERY, LARGE_ZONE_SIZE = 10, 40
INSTANCES = tuple(platform_site.INSTANCE_ZONES)
ZONES = {"east-a": "edge-east", "west-a": "edge-west"}
UPLOADS = ("uploads that stop short", "uploads in chunks that stop short", "whole uploads")
UPLOADS += ("rows of requests sent ahead", "uploads in chunks of one byte")
UPLOADS += ("uploads with long trailers", "heads without an end")
_ids = itertools.count(1)


class Soak:
    """One run.

    Args:
        seed: Seed of all choices.
        run_dir: Folder for settings and logs.
        seconds: Length of the run.

    Attributes:
        rng: Makes the plan; what is chosen later is chosen by generators that it seeds.
        site: The deployment.
        names: The instances.
        away: Instances that are stopped, killed or not ready again.
        crowds: The crowds that have not left.
        refused_ids: Ids of the requests that were refused to crowds as not run.
        usages: What each process took, by process id.
        statuses: Status of each request of an ordinary caller, by id; 0 if the connection broke.
        findings: What went wrong.
        history: What was done, with the time since the beginning in seconds.
        began_at: When that was, in monotonic seconds.
        tasks: Callers, crowds and troubles under way.
        version: Version of the newest configuration.
    """

    __slots__ = (
        "rng",
        "seconds",
        "site",
        "names",
        "away",
        "crowds",
        "refused_ids",
        "usages",
        "statuses",
        "findings",
        "history",
        "began_at",
        "tasks",
        "version",
    )

    def __init__(self, seed: int, run_dir: pathlib.Path, *, seconds: float = RUN_S) -> None:
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.site = platform_site.Site(run_dir)
        self.names = list(INSTANCES)
        if seed % LARGE_EVERY == 0:
            self.names = add_instances(LARGE_ZONE_SIZE)
        self.away: set[str] = set()
        self.crowds: list[hostile_callers.Crowd | slow_readers.SlowCrowd] = []
        self.refused_ids: set[str] = set()
        self.usages: dict[int, process_usage.Usage] = {}
        self.statuses: dict[str, int] = {}
        self.findings: list[str] = []
        self.history: list[str] = []
        self.began_at = time.monotonic()
        self.tasks: list[asyncio.Task[None]] = []
        self.version = 1

    async def run(self) -> list[str]:
        """Play the run, and return what went wrong."""
        try:
            await self._start()
            watcher = asyncio.ensure_future(self._watch())
            self.tasks = [
                asyncio.ensure_future(self._call(self._make_rng())) for _ in range(CALLERS)
            ]
            await self._trouble()
            for task in self.tasks[:CALLERS]:
                task.cancel()
            await self._end(self.tasks)
            await asyncio.sleep(watched_crowds.SETTLE_S)
            await self._check_answers()
            await self._check_runs()
            watcher.cancel()
            await self._end([watcher])
        finally:
            await self.site.close()
        return self.findings

    async def _end(self, tasks: list[asyncio.Task[None]]) -> None:
        """Wait until tasks have ended; those that fail are findings."""
        results = await asyncio.gather(*tasks, return_exceptions=True)
        self.findings += [
            "".join(traceback.format_exception(result))
            for result in results
            if isinstance(result, Exception)
        ]

    def _make_rng(self) -> random.Random:
        return random.Random(self.rng.getrandbits(32))

    def _note(self, what: str) -> None:
        self.history.append(f"{time.monotonic() - self.began_at:.1f} s {what}")

    async def _start(self) -> None:
        self.site.machine_limits = {"memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS}
        await self.site.start_standins()
        await self.site.write_item("op/config", hostile_callers.roomy_publication(self.version))
        for name in platform_site.UPSTREAMS:
            await self.site.set_faults(
                name,
                answer_bytes=ANSWER_BYTES,
                event_bytes=EVENT_BYTES,
                event_total=EVENTS,
                gap_s=0.0,
            )
            await self.site.register_upstream(name, capacity=PLACES, sequence=2)
        for name in self.names:
            await self.site.start(name)
        await self.site.wait_until_ready(*self.names)

    async def _trouble(self) -> None:
        """Begin crowds and troubles at random times, so that they overlap."""
        kinds = (self._crowd, self._crowd, self._crowd, self._stop, self._kill, self._freeze)
        kinds += (self._publish, self._break_upstream)
        ends_at = time.monotonic() + self.seconds
        while time.monotonic() < ends_at:
            trouble = self.rng.choice(kinds)(self._make_rng())
            self.tasks.append(asyncio.ensure_future(trouble))
            await asyncio.sleep(self.rng.uniform(*TROUBLE_PAUSE_S))

    async def _crowd(self, rng: random.Random) -> None:
        """Let a crowd come to one instance or to all of a region, and leave after a while."""
        region = rng.choice(sorted(ZONES.values()))
        targets = [name for name in self.names if name.startswith(region)]
        if rng.random() < 0.7:
            targets = [rng.choice(targets)]
        size = max(1, rng.choice(CROWD_SIZES) // len(targets))
        kind = rng.choice([*UPLOADS, *slow_readers.PACES])
        path = rng.choice(("/status/x", "/away/x", "/ask/x"))
        sources = hostile_callers.source_addresses(rng.choice((1, 50)))
        crowds = [self._make_crowd(name, kind, path, sources) for name in targets]
        self.crowds += crowds
        stay_s = rng.uniform(*CROWD_S)
        self._note(f"{size} callers: {kind} to {path} at {targets} for {stay_s:.1f} s")
        sending = [asyncio.ensure_future(crowd.send(kind, size)) for crowd in crowds]
        await asyncio.sleep(stay_s)
        for task in sending:
            task.cancel()
        await asyncio.gather(*sending, return_exceptions=True)
        await asyncio.gather(*[self._leave(crowd) for crowd in crowds])

    def _make_crowd(
        self, name: str, kind: str, path: str, sources: list[str]
    ) -> hostile_callers.Crowd | slow_readers.SlowCrowd:
        is_slow = kind in slow_readers.PACES
        crowd_class = slow_readers.SlowCrowd if is_slow else hostile_callers.Crowd
        return crowd_class(
            platform_site.instance_host(name),
            watched_crowds.FRONT_PORT,
            path=path if is_slow else "/book/x",
            headers=hostile_callers.platform_headers(deadline_s=hostile_callers.REQUEST_TIME_S),
            sources=sources,
        )

    async def _leave(self, crowd: hostile_callers.Crowd | slow_readers.SlowCrowd) -> None:
        if crowd in self.crowds:
            self.crowds.remove(crowd)
            await crowd.close()
            if type(crowd) is slow_readers.SlowCrowd:
                self.refused_ids |= crowd.refused_ids()

    async def _stop(self, rng: random.Random) -> None:
        """Stop an instance in a planned way, and start it again."""
        name = self._take_away(rng)
        if name is None:
            return
        self._note(f"{name} is stopped")
        process = self.site.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(process.wait(), deployment.READY_TIMEOUT_S)
        except TimeoutError:
            process.kill()
            code = await process.wait()
        if code != 0:
            self.findings.append(f"{name} ended with {code} after SIGTERM")
        await self._bring_back(name)

    async def _kill(self, rng: random.Random) -> None:
        """Kill an instance, and start it again."""
        name = self._take_away(rng)
        if name is not None:
            self._note(f"{name} is killed")
            await self.site.kill(name)
            await self._bring_back(name)

    async def _freeze(self, rng: random.Random) -> None:
        """Suspend an instance for a while."""
        name = self._take_away(rng)
        if name is None:
            return
        self._note(f"{name} is suspended")
        process = self.site.processes[name]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(*FREEZE_S))
        process.send_signal(signal.SIGCONT)
        self.away.discard(name)

    async def _publish(self, rng: random.Random) -> None:
        """Write a new version of the configuration."""
        self.version += 1
        self._note(f"version {self.version} is published")
        document = hostile_callers.roomy_publication(self.version)
        await self.site.write_item("op/config", document)

    async def _break_upstream(self, rng: random.Random) -> None:
        """Let an upstream reset some connections, or write without end."""
        name = rng.choice(sorted(platform_site.UPSTREAMS))
        fault = rng.choice(("reset", "endless_signed", "hang"))
        self._note(f"{name} has the fault {fault}")
        await self.site.set_faults(name, **{fault: 5})

    def _take_away(self, rng: random.Random) -> str | None:
        """Return an instance that nothing else befalls; the last one of a region is left alone."""
        free = [name for name in self.names if name not in self.away]
        regions = [name.rpartition("-")[0] for name in free]
        free = [name for name in free if regions.count(name.rpartition("-")[0]) > 1]
        if not free:
            return None
        name = rng.choice(free)
        self.away.add(name)
        return name

    async def _bring_back(self, name: str) -> None:
        await self.site.start(name)
        await deployment.wait_until(lambda: self.site.is_ready(name))
        self.away.discard(name)

    async def _call(self, rng: random.Random) -> None:
        """Send ordinary requests one after another over connections that stay open."""
        async with aiohttp.ClientSession() as session:
            while True:
                name = rng.choice(self.names)
                await self._send(session, name, rng.choice(("/status/x", "/book/x")))
                await asyncio.sleep(CALLER_PAUSE_S)

    async def _send(self, session: aiohttp.ClientSession, name: str, path: str) -> int:
        """Send a request, and return its status once the whole answer has come."""
        request_id = f"ordinary{next(_ids)}"
        headers = {
            "Host": platform_builders.HOST,
            "Authorization": f"Token {platform_builders.PLATFORM_KEY}",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "4000",
        }
        url = f"http://{platform_site.instance_host(name)}:{watched_crowds.FRONT_PORT}{path}"
        method, body = ("POST", request_id.encode()) if path.startswith("/book") else ("GET", None)
        status = 0
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with asyncio.timeout(watched_crowds.ANSWER_LIMIT_S):
                async with session.request(method, url, headers=headers, data=body) as response:
                    await response.read()
                    status = response.status
        self.statuses[request_id] = status
        return status

    async def _watch(self) -> None:
        """Sample the processes, and notice those that end by themselves."""
        while True:
            for name, process in list(self.site.processes.items()):
                if process.returncode is not None and name not in self.away:
                    self.findings.append(f"{name} ended by itself with {process.returncode}")
                    self.site.processes.pop(name)
                elif process.returncode is None:
                    self._sample(name, process.pid)
            await asyncio.sleep(process_usage.SAMPLE_PERIOD_S * len(self.names))

    def _sample(self, name: str, pid: int) -> None:
        usage = self.usages.setdefault(pid, process_usage.Usage(pid))
        with contextlib.suppress(OSError, StopIteration):
            usage.sample()
        if usage.peak_mb > MEMORY_MB or usage.peak_descriptors > DESCRIPTORS:
            seen = f"{usage.peak_mb:.0f} MB, {usage.peak_descriptors} descriptors"
            if not any(item.startswith(f"{name} took") for item in self.findings):
                self._note(f"{name} takes {seen}")
                self.findings.append(f"{name} took {seen}")

    async def _check_answers(self) -> None:
        """Check that every instance answers ordinary requests."""
        for name in self.names:
            async with aiohttp.ClientSession() as session:
                try:
                    await deployment.wait_until(
                        lambda name=name, session=session: self._is_served(session, name),
                        watched_crowds.ANSWER_LIMIT_S,
                    )
                except TimeoutError:
                    self.findings.append(f"{name} does not answer")

    async def _is_served(self, session: aiohttp.ClientSession, name: str) -> bool:
        return await self._send(session, name, "/status/x") == 200

    async def _check_runs(self) -> None:
        """Check that no order ran twice, and that nothing ran that was refused as not run."""
        runs: dict[str, int] = {}
        for name in platform_site.UPSTREAMS:
            for record in (await self.site.received_requests(name))["seen"]:
                if record["ran"] and record["id"]:
                    runs[record["id"]] = runs.get(record["id"], 0) + 1
                    if runs[record["id"]] > 1 and record["path"].startswith("/book"):
                        self.findings.append(f"order {record['id']} ran twice")
        refused = {i for i, status in self.statuses.items() if status in slow_readers.BUSY_STATUSES}
        for request_id in sorted((refused | self.refused_ids) & runs.keys()):
            self.findings.append(f"{request_id} was refused as not run, and ran")


def add_instances(zone_size: int) -> list[str]:
    """Add instances to each zone of the site, and return the names of all."""
    for zone, prefix in ZONES.items():
        for number in range(1, zone_size + 1):
            platform_site.INSTANCE_ZONES[f"{prefix}-{number}"] = zone
    return list(platform_site.INSTANCE_ZONES)


def summary(soak: Soak) -> str:
    """Return the figures of a run."""
    peak_mb = max(usage.peak_mb for usage in soak.usages.values())
    descriptors = max(usage.peak_descriptors for usage in soak.usages.values())
    served = sum(status == 200 for status in soak.statuses.values())
    return (
        f"{len(soak.names)} instances, {len(soak.usages)} processes, at most {peak_mb:.0f} MB and"
        f" {descriptors} descriptors, {served} of {len(soak.statuses)} ordinary requests served"
    )


def main(first_seed: int, count: int) -> int:
    """Play some seeds, print what went wrong with each, and return the exit code."""
    failed = 0
    for seed in range(first_seed, first_seed + count):
        soak = Soak(seed, event_coverage.run_dir() / "crowd-soak" / str(seed))
        findings = asyncio.run(soak.run())
        failed += bool(findings)
        print(f"seed {seed}: {'; '.join(findings) or 'no finding'} ({summary(soak)})", flush=True)
        for line in soak.history if findings else ():
            print(f"  {line}", flush=True)
    print(f"{count - failed} of {count} seeds without a finding")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
