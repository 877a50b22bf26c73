"""Starts and stops an example deployment: its stand-ins and instances, as processes."""

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
# Time limit for a process to start or to stop, in seconds.
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
FLEET_SECRET = "example-fleet-secret-0001"
OPERATOR_TOKEN = "example-operator-token-01"


class Deployment:
    """One example deployment on loopback addresses.

    Args:
        folder: Folder below examples/ with settings, resources and the list of stand-ins.
        run_dir: Folder that logs are written to.

    Attributes:
        standins: The process that runs all stand-ins, or None before its start.
        processes: Running instances by name.
        settings: Settings of each instance by name.
        session: HTTP client, or None before the start.
        environment: Environment variables of the instances.
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
        """Start all stand-ins in one process and wait until they listen."""
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
        """Start an instance; its output is appended to its log file."""
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
        """Wait until an instance reports that it is ready."""

        async def ready() -> bool:
            try:
                async with self.session.get(self.url(name) + "/readyz") as response:
                    return response.status == 200
            except aiohttp.ClientError:
                return False

        await wait_until(ready)

    async def apply(self, name: str) -> None:
        """Write the resources of the deployment through the operator API of an instance.

        Raises:
            RuntimeError: When the instance refuses a resource.
        """
        for item in json.loads((self.folder / "resources.json").read_text()):
            path = f"/v1/resources/{item['kind']}/{item['spec']['name']}"
            url = self.url(name, "operator_port") + path
            async with self.session.put(
                url, json={"spec": item["spec"]}, headers=operator_headers()
            ) as response:
                if response.status != 200:
                    raise RuntimeError(f"PUT {path} failed: {await response.text()}")

    async def wait_until_synchronized(self) -> None:
        """Wait until all running instances have the same number of resources."""

        async def synchronized() -> bool:
            counts = {await self.metric(name, "resources") for name in self.processes}
            return len(counts) == 1

        await wait_until(synchronized)

    async def wait_until_discovered(self) -> None:
        """Wait until each running instance has discovered all the others."""

        async def discovered() -> bool:
            counts = [await self.metric(name, "live_instances") for name in self.processes]
            return set(counts) == {len(self.processes)}

        await wait_until(discovered)

    async def metric(self, name: str, metric: str) -> float:
        """Return a metric of an instance, summed over its labels; 0 if it is absent."""
        async with self.session.get(self.url(name) + "/metrics") as response:
            lines = (await response.text()).splitlines()
        sample_pattern = re.compile(rf"yuccahitch_{metric}(_total)?({{.*}})? ")
        return sum(float(line.split()[-1]) for line in lines if sample_pattern.match(line))

    async def set_faults(self, url: str, **switches: typing.Any) -> None:
        """Set fault switches of a stand-in; without switches, reset all.

        Raises:
            RuntimeError: When the stand-in does not know a switch.
        """
        async with self.session.post(url + "/faults", json=switches) as response:
            if response.status != 200:
                raise RuntimeError(await response.text())

    async def get_json(self, url: str) -> typing.Any:
        """Return the JSON that a stand-in serves at a URL."""
        async with self.session.get(url) as response:
            return await response.json()

    async def stop(self, name: str) -> int:
        """Shut an instance down gracefully and return its exit code."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        code = await asyncio.wait_for(process.wait(), READY_TIMEOUT_S)
        del self.processes[name]
        return code

    def kill(self, name: str) -> None:
        """Kill an instance with SIGKILL."""
        self.processes.pop(name).kill()

    async def close(self) -> None:
        """Stop all processes that are still running and close the HTTP client."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
        if self.standins is not None and self.standins.returncode is None:
            self.standins.terminate()
            await self.standins.wait()
        if self.session is not None:
            await self.session.close()

    def url(self, name: str, port: str = "caller_port") -> str:
        """Return the base URL of an instance at the port that an option of its settings names."""
        section = self.settings[name]["instance"]
        return f"http://{section['listen']}:{section[port]}"

    def standin_urls(self, kind: str) -> dict[str, str]:
        """Return the base URLs of the stand-ins of a kind, by name, or by host if unnamed."""
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
    """Return the HTTP headers that authenticate an operator."""
    return {"Authorization": f"Bearer {OPERATOR_TOKEN}"}


async def wait_until(
    condition: typing.Callable[[], typing.Awaitable[bool]], timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Poll a condition until it holds.

    Raises:
        TimeoutError: When the condition does not hold within the timeout.
    """
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(POLL_INTERVAL_S)


def _read_settings(path: pathlib.Path) -> configparser.ConfigParser:
    """Return the settings in an INI file."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(path)
    return parser
