"""Starts and ends an example deployment: its stand-ins and its instances, as processes."""

from __future__ import annotations

import asyncio
import configparser
import json
import os
import pathlib
import re
import signal
import sys
import typing

import aiohttp

ROOT = pathlib.Path(__file__).parent.parent
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
FLEET_SECRET = "example-fleet-secret-0001"
OPERATOR_TOKEN = "example-operator-token-01"


class Deployment:
    """One example deployment on loopback addresses.

    Args:
        folder: Folder under examples/ with settings, resources and stand-ins.
        run_dir: Where logs are written.
    """

    __slots__ = ("folder", "run_dir", "standins", "processes", "settings", "session", "environment")

    def __init__(self, folder: pathlib.Path, run_dir: pathlib.Path) -> None:
        self.folder = folder
        self.run_dir = run_dir
        self.standins: asyncio.subprocess.Process | None = None
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.settings = {path.stem: _read_settings(path) for path in sorted(folder.glob("*.ini"))}
        self.session: aiohttp.ClientSession | None = None
        self.environment = os.environ | {
            "YUCCAHITCH_FLEET_SECRET": FLEET_SECRET,
            "YUCCAHITCH_OPERATOR_TOKEN": OPERATOR_TOKEN,
            "PYTHONPATH": str(ROOT),
        }

    async def start_standins(self) -> None:
        """Start all stand-ins in one process."""
        self.run_dir.mkdir(parents=True, exist_ok=True)
        self.session = aiohttp.ClientSession()
        lines = (self.folder / "standins.txt").read_text().splitlines()
        standin_arguments = " -- ".join(lines).split()
        self.standins = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "standins",
            *standin_arguments,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        await asyncio.wait_for(self.standins.stdout.readline(), READY_TIMEOUT_S)

    async def start(self, name: str) -> None:
        """Start one instance."""
        log = (self.run_dir / f"{name}.log").open("ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "yuccahitch",
            "serve",
            str(self.folder / f"{name}.ini"),
            cwd=ROOT,
            env=self.environment,
            stdout=log,
            stderr=log,
        )

    async def start_all(self) -> None:
        """Start all instances and wait until each is ready."""
        for name in self.settings:
            await self.start(name)
        await asyncio.gather(*map(self.wait_until_ready, self.settings))

    async def wait_until_ready(self, name: str) -> None:
        """Wait until an instance serves."""

        async def ready() -> bool:
            try:
                async with self.session.get(self.url(name) + "/readyz") as response:
                    return response.status == 200
            except aiohttp.ClientError:
                return False

        await wait_until(ready)

    async def apply(self, name: str) -> None:
        """Write the deployment's resources through one instance."""
        for item in json.loads((self.folder / "resources.json").read_text()):
            path = f"/v1/resources/{item['kind']}/{item['spec']['name']}"
            url = self.url(name, "operator_port") + path
            async with self.session.put(
                url, json={"spec": item["spec"]}, headers=operator_headers()
            ) as response:
                if response.status != 200:
                    raise RuntimeError(f"{path}: {await response.text()}")

    async def wait_until_synchronized(self) -> None:
        """Wait until all live instances hold the same number of resources."""

        async def synchronized() -> bool:
            counts = {await self.metric(name, "resources") for name in self.processes}
            return len(counts) == 1

        await wait_until(synchronized)

    async def wait_until_discovered(self) -> None:
        """Wait until each live instance has heard of all the others."""

        async def discovered() -> bool:
            counts = [await self.metric(name, "live_instances") for name in self.processes]
            return set(counts) == {len(self.processes)}

        await wait_until(discovered)

    async def metric(self, name: str, metric: str) -> float:
        """Return a figure of an instance, summed over its labels, 0 if it has none."""
        async with self.session.get(self.url(name) + "/metrics") as response:
            lines = (await response.text()).splitlines()
        sample_pattern = re.compile(rf"yuccahitch_{metric}(_total)?({{.*}})? ")
        return sum(float(line.split()[-1]) for line in lines if sample_pattern.match(line))

    async def set_faults(self, url: str, **switches: typing.Any) -> None:
        """Switch faults of a stand-in."""
        async with self.session.post(url + "/faults", json=switches) as response:
            if response.status != 200:
                raise RuntimeError(await response.text())

    async def get_json(self, url: str) -> typing.Any:
        """Return a stand-in's JSON."""
        async with self.session.get(url) as response:
            return await response.json()

    async def stop(self, name: str) -> int:
        """Shut one instance down gracefully and return its exit code."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        code = await asyncio.wait_for(process.wait(), READY_TIMEOUT_S)
        del self.processes[name]
        return code

    def kill(self, name: str) -> None:
        """End one instance at once."""
        self.processes.pop(name).kill()

    async def close(self) -> None:
        """End everything that is still running."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        if self.standins is not None and self.standins.returncode is None:
            self.standins.terminate()
            await self.standins.wait()
        if self.session is not None:
            await self.session.close()

    def url(self, name: str, port: str = "caller_port") -> str:
        """Return an instance's base URL for callers, or for another of its ports."""
        section = self.settings[name]["instance"]
        return f"http://{section['listen']}:{section[port]}"

    def standin_urls(self, kind: str) -> dict[str, str]:
        """Return the base URLs of the stand-ins of a kind, by name or address."""
        urls = {}
        for line in (self.folder / "standins.txt").read_text().splitlines():
            line_kind, port, *options = line.split()
            options_by_name = dict(option.split("=", 1) for option in options)
            if line_kind == kind:
                urls[options_by_name.get("name", options_by_name["host"])] = (
                    f"http://{options_by_name['host']}:{port}"
                )
        return urls


def operator_headers() -> dict[str, str]:
    """Return the headers with which operators authenticate."""
    return {"Authorization": f"Bearer {OPERATOR_TOKEN}"}


async def wait_until(
    condition: typing.Callable[[], typing.Awaitable[bool]], timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: When it does not hold in time.
    """
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(POLL_INTERVAL_S)


def _read_settings(path: pathlib.Path) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(path)
    return parser
