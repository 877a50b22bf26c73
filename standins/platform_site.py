"""Starts and ends a small deployment of the users' platform on loopback.

Store and upstreams are stand-ins, the instances real processes. Their settings come from
``deploy/settings.ini``, filled in as the platform does.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import re
import signal
import sys
import typing

import aiohttp

from standins import deployment

ROOT = deployment.ROOT
TEMPLATE = ROOT / "deploy" / "settings.ini"
# The store listens at an address for each region, so that it can turn one region's machines away.
STORE = "127.30.0.1:7100"
STORES = {"east": STORE, "west": "127.30.0.2:7100"}
ZONES = {"east-a": "east", "west-a": "west"}
NUMBERS = {"east-a": 1, "west-a": 2}
MACHINES = {"edge-east-1": "east-a", "edge-east-2": "east-a", "edge-west-1": "west-a"}
UPSTREAM_PORT = 7110
# Upstreams: id, service, zone, events of a stream (0 for a plain service).
UPSTREAMS = {
    "desk-1": ("desk", "east-a", 0),
    "desk-2": ("desk", "east-a", 0),
    "desk-3": ("desk", "west-a", 0),
    "model-1": ("model", "east-a", 6),
    "model-2": ("model", "east-a", 6),
    "model-3": ("model", "west-a", 6),
}
BOUNDS = {
    "drainMs": 3000,
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retryBudgetExtra": 60,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaSlack": 200,
}


class Site:
    """A running deployment.

    Args:
        run_dir: Where settings and logs are written.
    """

    __slots__ = ("run_dir", "standins", "processes", "session", "pipes")

    def __init__(self, run_dir: pathlib.Path) -> None:
        self.run_dir = run_dir
        self.standins: asyncio.subprocess.Process | None = None
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.session: aiohttp.ClientSession | None = None
        self.pipes: list[int] = []

    async def start_standins(self) -> None:
        """Start store and upstreams in one process, and register the upstreams."""
        self.run_dir.mkdir(parents=True, exist_ok=True)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self.session = aiohttp.ClientSession(connector=connector)
        hosts = ",".join(_host(place) for place in STORES.values())
        lines = [f"platform_store {_port(STORE)} host={hosts}"]
        lines += [
            f"replica {UPSTREAM_PORT} host={_host(address(name))} id={name} events={events}"
            for name, (_, _, events) in UPSTREAMS.items()
        ]
        words = " -- ".join(lines).split()
        self.standins = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "standins", *words, cwd=ROOT, stdout=asyncio.subprocess.PIPE
        )
        await asyncio.wait_for(self.standins.stdout.readline(), deployment.READY_TIMEOUT_S)
        for name in UPSTREAMS:
            await self.register(name)

    async def register(self, name: str, **fields: typing.Any) -> None:
        """Write an upstream's entry."""
        await self.write(f"servers/{name}", entry(name, **fields))

    async def write(self, key: str, value: typing.Any) -> None:
        """Write an item of the operator or of an upstream; None removes it."""
        url = f"http://{STORE}/admin/put"
        async with self.session.post(url, json={"key": key, "value": value}) as response:
            assert response.status == 200

    async def call_store(self, method: str, path: str) -> typing.Any:
        """Call the store stand-in's own interface."""
        async with self.session.request(method, f"http://{STORE}{path}") as response:
            return await response.json()

    async def faults(self, place: str, **switches: typing.Any) -> None:
        """Switch faults of the store (``store``) or of an upstream; none resets all."""
        where = STORE if place == "store" else address(place)
        async with self.session.post(f"http://{where}/faults", json=switches) as response:
            assert response.status == 200, await response.text()

    async def shared_faults(self, **switches: typing.Any) -> None:
        """Switch faults that whichever upstream comes first takes; none resets all."""
        url = f"http://{address('desk-1')}/shared-faults"
        async with self.session.post(url, json=switches) as response:
            assert response.status == 200, await response.text()

    async def seen(self, name: str) -> dict[str, typing.Any]:
        """Return what an upstream saw."""
        async with self.session.get(f"http://{address(name)}/seen") as response:
            return await response.json()

    async def start(self, name: str, *, unread: bool = False) -> None:
        """Start one instance, its log in a file or in a pipe that nobody reads."""
        path = self.run_dir / f"{name}.ini"
        path.write_text(render(TEMPLATE.read_text(), settings_of(name)))
        log = (self.run_dir / f"{name}.log").open("ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "yuccahitch",
            "edge",
            cwd=ROOT,
            env=os.environ | {"YUCCAHITCH_SETTINGS": str(path), "PYTHONPATH": str(ROOT)},
            stdout=self._unread_pipe() if unread else log,
            stderr=log,
        )

    async def ready(self, name: str) -> bool:
        """Return whether an instance says that it is ready."""
        try:
            url = f"http://{machine(name)}:7102/api/ready"
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def until_ready(self, *names: str) -> None:
        """Wait until instances are ready."""

        async def all_ready() -> bool:
            return all([await self.ready(name) for name in names])

        await deployment.until(all_ready)

    async def directory(self, asked: str, region: str, host: str) -> list[str]:
        """Return the instances that an instance's directory names."""
        url = f"http://{machine(asked)}:7103/api/resolve?name={host}&region={region}&zone=z"
        async with self.session.get(url) as response:
            body = await response.json()
        by_address = {f"{machine(name)}:7101": name for name in MACHINES}
        return sorted(by_address[item] for item in body["addresses"])

    async def status(self, name: str, path: str, host: str, key: str) -> int:
        """Return the status of a request to an instance."""
        headers = {"Host": host, "Authorization": f"Token {key}"}
        url = f"http://{machine(name)}:7101{path}"
        async with self.session.get(url, headers=headers) as response:
            return response.status

    async def stop(self, name: str) -> int:
        """Shut one instance down gracefully and return its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(process.wait(), deployment.READY_TIMEOUT_S)

    async def kill(self, name: str) -> None:
        """End one instance at once."""
        process = self.processes.pop(name)
        process.kill()
        await process.wait()

    async def close(self) -> None:
        """End everything that is still running."""
        for name in list(self.processes):
            await self.kill(name)
        if self.standins is not None:
            self.standins.terminate()
            await self.standins.wait()
        if self.session is not None:
            await self.session.close()
        for end in self.pipes:
            os.close(end)

    def _unread_pipe(self) -> int:
        """Return the writing end of a pipe that nobody reads."""
        ends = os.pipe()
        self.pipes.extend(ends)
        return ends[1]


def machine(name: str) -> str:
    """Return the address of an instance."""
    return f"127.30.{NUMBERS[MACHINES[name]]}.{name.rpartition('-')[2]}"


def address(name: str) -> str:
    """Return the address and port of an upstream."""
    place = list(UPSTREAMS).index(name) + 101
    return f"127.30.{NUMBERS[UPSTREAMS[name][1]]}.{place}:{UPSTREAM_PORT}"


def entry(name: str, **fields: typing.Any) -> dict[str, typing.Any]:
    """Return the entry of an upstream."""
    service, zone, _ = UPSTREAMS[name]
    return {
        "service": service,
        "address": address(name),
        "zone": zone,
        "version": "v1",
        "capacity": 8,
        "state": "ready",
        "warmupLeftMs": 0,
        "sequence": 1,
        "born": 1_700_000_000_000,
    } | fields


def settings_of(name: str) -> dict[str, typing.Any]:
    """Return the platform's fields for an instance."""
    host = machine(name)
    zone = MACHINES[name]
    return {
        "nodeName": name,
        "ip": host,
        "zone": zone,
        "region": ZONES[zone],
        "zones": ZONES,
        "listen": {
            "frontend": f"{host}:7101",
            "readiness": f"{host}:7102",
            "directory": f"{host}:7103",
        },
        "internalPorts": [7104, 7109],
        "bounds": BOUNDS,
        "provider": {"address": STORES[ZONES[zone]]},
    }


def render(template: str, fields: dict[str, typing.Any]) -> str:
    """Fill in a template: values by path, and one level of sections over a table."""

    def section(match: re.Match[str]) -> str:
        rows = list(fields[match[1]].items())
        return "".join(
            match[2]
            .replace("{{@}}", str(key))
            .replace("{{.}}", str(value))
            .replace("{{,}}", "," if place + 1 < len(rows) else "")
            for place, (key, value) in enumerate(rows)
        )

    def value(match: re.Match[str]) -> str:
        found: typing.Any = fields
        for step in match[1].split("."):
            if isinstance(found, list):
                found = found[int(step)]
            else:
                found = found.get(step) if found is not None else None
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


def _host(place: str) -> str:
    return place.rpartition(":")[0]


def _port(place: str) -> str:
    return place.rpartition(":")[2]
