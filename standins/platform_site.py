"""Starts and stops a small deployment of the users' platform on loopback.

The store and the upstreams are stand-ins, the instances real processes. The settings of an
instance are rendered from the template ``deploy/settings.ini`` as the platform does.
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

from standins import deployment, versioned_upstreams

ROOT = deployment.ROOT
SETTINGS_TEMPLATE = ROOT / "deploy" / "settings.ini"
# Environment variable with the first two octets of the loopback addresses, for a second site beside
# this one.
NETWORK_VARIABLE = "YUCCAHITCH_SITE_NETWORK"
NETWORK = os.environ.get(NETWORK_VARIABLE, "127.30")
# The store listens on an address per region, so that it can refuse the instances of one region.
STORE_ADDRESS = f"{NETWORK}.0.1:7100"
STORE_ADDRESSES = {"east": STORE_ADDRESS, "west": f"{NETWORK}.0.2:7100"}
ZONE_REGIONS = {"east-a": "east", "west-a": "west"}
# Third octet of the loopback addresses of each zone.
ZONE_NUMBERS = {"east-a": 1, "west-a": 2}
# Zone of each instance.
INSTANCE_ZONES = {"edge-east-1": "east-a", "edge-east-2": "east-a", "edge-west-1": "west-a"}
UPSTREAM_PORT = 7110
# Service, zone, and number of events per stream (0 for a plain service) of each upstream, by id.
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
        run_dir: Folder that settings and logs are written to.

    Attributes:
        standins: The process that runs all stand-ins, or None before its start.
        processes: Running instances by name.
        session: HTTP client, or None before the start.
        pipe_ends: File descriptors of the pipes that nobody reads.
        started: Names of the instances that have been started.
        machine_limits: Memory and descriptors of the machine of each instance, as the platform
            names them.
        upstreams_born_ms: Start that the entries of upstreams name, in milliseconds since the Unix
            epoch.
    """

    __slots__ = (
        "run_dir",
        "standins",
        "processes",
        "session",
        "pipe_ends",
        "started",
        "machine_limits",
        "upstreams_born_ms",
    )

    def __init__(self, run_dir: pathlib.Path) -> None:
        self.run_dir = run_dir
        self.standins: asyncio.subprocess.Process | None = None
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.session: aiohttp.ClientSession | None = None
        self.pipe_ends: list[int] = []
        self.started: set[str] = set()
        self.machine_limits: dict[str, int] = {}
        self.upstreams_born_ms = 1_700_000_000_000

    async def start_standins(self) -> None:
        """Start the store and the upstreams in one process, and register the upstreams."""
        self.run_dir.mkdir(parents=True, exist_ok=True)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self.session = aiohttp.ClientSession(connector=connector)
        hosts = ",".join(_host(address) for address in STORE_ADDRESSES.values())
        lines = [f"platform_store {_port(STORE_ADDRESS)} host={hosts}"]
        lines += [
            f"replica {UPSTREAM_PORT} host={_host(upstream_address(name))}"
            f" id={name} events={events}"
            for name, (_, _, events) in UPSTREAMS.items()
        ]
        lines += [
            f"replica {UPSTREAM_PORT} host={_host(upstream_address(name))}"
            f" id={name} events={versioned_upstreams.EVENTS} version={upstream.version}"
            for name, upstream in versioned_upstreams.UPSTREAMS.items()
        ]
        standin_arguments = " -- ".join(lines).split()
        self.standins = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "standins",
            *standin_arguments,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        await asyncio.wait_for(self.standins.stdout.readline(), deployment.READY_TIMEOUT_S)
        for name in UPSTREAMS:
            await self.register_upstream(name)

    async def register_upstream(self, name: str, **fields: typing.Any) -> None:
        """Write the entry of an upstream to the store; fields replace those of the default."""
        entry = upstream_entry(name, **({"born": self.upstreams_born_ms} | fields))
        url = f"http://{upstream_address(name)}/report-switches"
        async with self.session.post(url, json={"born": entry["born"]}) as response:
            assert response.status == 200
        await self.write_item(f"servers/{name}", entry)

    async def write_item(self, key: str, value: typing.Any) -> None:
        """Write an item to the store as an operator or an upstream does; None removes it."""
        url = f"http://{STORE_ADDRESS}/admin/put"
        async with self.session.post(url, json={"key": key, "value": value}) as response:
            assert response.status == 200

    async def call_store(self, method: str, path: str) -> typing.Any:
        """Call a path of the store stand-in and return the JSON reply."""
        async with self.session.request(method, f"http://{STORE_ADDRESS}{path}") as response:
            return await response.json()

    async def set_faults(self, target: str, **switches: typing.Any) -> None:
        """Set fault switches of ``store`` or of an upstream; without switches, reset all."""
        target_address = STORE_ADDRESS if target == "store" else upstream_address(target)
        async with self.session.post(f"http://{target_address}/faults", json=switches) as response:
            assert response.status == 200, await response.text()

    async def set_shared_faults(self, **switches: typing.Any) -> None:
        """Set fault switches that apply to whichever upstream serves the next request.

        Without switches, reset all.
        """
        url = f"http://{upstream_address('desk-1')}/shared-faults"
        async with self.session.post(url, json=switches) as response:
            assert response.status == 200, await response.text()

    async def received_requests(self, name: str) -> dict[str, typing.Any]:
        """Return the requests that an upstream received and its counts of running and abandoned."""
        async with self.session.get(f"http://{upstream_address(name)}/seen") as response:
            return await response.json()

    async def start(self, name: str, *, unread_log: bool = False) -> None:
        """Start an instance that logs to a file, or to a pipe that nobody reads."""
        path = self.run_dir / f"{name}.ini"
        fields = platform_fields(name) | {
            "bootstrap": str(name not in self.started).lower(),
            "limits": self.machine_limits,
        }
        self.started.add(name)
        path.write_text(render_settings(SETTINGS_TEMPLATE.read_text(), fields))
        log = (self.run_dir / f"{name}.log").open("ab")
        self.processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "yuccahitch",
            "edge",
            cwd=ROOT,
            env=os.environ | {"YUCCAHITCH_SETTINGS": str(path), "PYTHONPATH": str(ROOT)},
            stdout=self._unread_pipe() if unread_log else log,
            stderr=log,
        )

    async def is_ready(self, name: str) -> bool:
        """Return whether an instance reports that it is ready."""
        try:
            url = f"http://{instance_host(name)}:7102/api/ready"
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def wait_until_ready(self, *names: str) -> None:
        """Wait until all the named instances are ready."""

        async def all_ready() -> bool:
            return all([await self.is_ready(name) for name in names])

        await deployment.wait_until(all_ready)

    async def resolve(self, instance: str, region: str, host: str) -> list[str]:
        """Return the instances that the directory of an instance lists for a host and a region."""
        url = (
            f"http://{instance_host(instance)}:7103/api/resolve?name={host}&region={region}&zone=z"
        )
        async with self.session.get(url) as response:
            body = await response.json()
        by_address = {f"{instance_host(name)}:7101": name for name in INSTANCE_ZONES}
        return sorted(by_address[item] for item in body["addresses"])

    async def request_status(self, name: str, path: str, host: str, key: str) -> int:
        """Return the HTTP status of a GET request to an instance with an API key."""
        headers = {"Host": host, "Authorization": f"Token {key}"}
        url = f"http://{instance_host(name)}:7101{path}"
        async with self.session.get(url, headers=headers) as response:
            return response.status

    async def stop(self, name: str) -> int:
        """Shut an instance down gracefully and return its exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(process.wait(), deployment.READY_TIMEOUT_S)

    async def kill(self, name: str) -> None:
        """Kill an instance with SIGKILL and wait until it has ended."""
        process = self.processes.pop(name)
        process.kill()
        await process.wait()

    async def close(self) -> None:
        """Stop all processes that are still running; close the HTTP client and the pipes."""
        for name in list(self.processes):
            await self.kill(name)
        if self.standins is not None:
            self.standins.terminate()
            await self.standins.wait()
        if self.session is not None:
            await self.session.close()
        for pipe_end in self.pipe_ends:
            os.close(pipe_end)

    def _unread_pipe(self) -> int:
        """Return the write end of a pipe that nobody reads."""
        ends = os.pipe()
        self.pipe_ends.extend(ends)
        return ends[1]


def instance_host(name: str) -> str:
    """Return the IP address of an instance."""
    return f"{NETWORK}.{ZONE_NUMBERS[INSTANCE_ZONES[name]]}.{name.rpartition('-')[2]}"


def upstream_address(name: str) -> str:
    """Return the address of an upstream, ``IP:PORT``."""
    host_number = [*UPSTREAMS, *versioned_upstreams.UPSTREAMS].index(name) + 101
    return f"{NETWORK}.{ZONE_NUMBERS[_upstream_zone(name)]}.{host_number}:{UPSTREAM_PORT}"


def upstream_entry(name: str, **fields: typing.Any) -> dict[str, typing.Any]:
    """Return the entry of an upstream in the store; fields replace those of the default."""
    versioned = versioned_upstreams.UPSTREAMS.get(name)
    return {
        "service": UPSTREAMS[name][0] if versioned is None else "text",
        "address": upstream_address(name),
        "zone": _upstream_zone(name),
        "version": "v1" if versioned is None else versioned.version,
        "capacity": 8,
        "state": "ready",
        "warmupLeftMs": 0,
        "sequence": 1,
        "born": 1_700_000_000_000,
    } | fields


def platform_fields(name: str) -> dict[str, typing.Any]:
    """Return the fields with which the platform renders the settings of an instance."""
    host = instance_host(name)
    zone = INSTANCE_ZONES[name]
    return {
        "nodeName": name,
        "ip": host,
        "zone": zone,
        "region": ZONE_REGIONS[zone],
        "zones": ZONE_REGIONS,
        "listen": {
            "frontend": f"{host}:7101",
            "readiness": f"{host}:7102",
            "directory": f"{host}:7103",
        },
        "internalPorts": [7104, 7109],
        "heartbeatMs": 1200,
        "bounds": BOUNDS,
        "provider": {"address": STORE_ADDRESSES[ZONE_REGIONS[zone]], "writesPerS": 400},
    }


def render_settings(template: str, fields: dict[str, typing.Any]) -> str:
    """Render a template: values by dotted path, and one level of sections over a table."""

    def section(match: re.Match[str]) -> str:
        value = fields.get(match[1])
        if not isinstance(value, dict):
            return match[2] if value else ""
        table = list(value.items())
        return "".join(
            match[2]
            .replace("{{@}}", str(key))
            .replace("{{.}}", str(value))
            .replace("{{,}}", "," if position + 1 < len(table) else "")
            for position, (key, value) in enumerate(table)
        )

    def value(match: re.Match[str]) -> str:
        field: typing.Any = fields
        for name_part in match[1].split("."):
            if isinstance(field, list):
                field = field[int(name_part)]
            else:
                field = field.get(name_part) if field is not None else None
        return "" if field is None else str(field)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


def _upstream_zone(name: str) -> str:
    """Return the availability zone of an upstream."""
    versioned = versioned_upstreams.UPSTREAMS.get(name)
    return UPSTREAMS[name][1] if versioned is None else versioned.zone


def _host(address: str) -> str:
    return address.rpartition(":")[0]


def _port(address: str) -> str:
    return address.rpartition(":")[2]
