"""A small deployment on loopback: the store, replicas and `yuccahitch edge` processes.

The instances are real processes, started with the command of ``deploy/system.toml``; their settings
come from ``deploy/settings.ini``. The store is the project's stand-in, in a process of its own.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import typing

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]

import aiohttp  # noqa: E402

from standins import platform_site  # noqa: E402

METRICS_PORT = 9464
START_LIMIT_S = 20.0
# Bounds and limits as on the sheet of sahil-flood.
BOUNDS = {
    "drainMs": 3000,
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retryBudgetExtra": 56,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaSlack": 190000,
}
HEARTBEAT_MS = 1200
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class CannotRunError(Exception):
    """The deployment did not come up, so the case says nothing."""


class Instance:
    """An instance: its place, its addresses and its process.

    Attributes:
        starts: Number of times that its process was started.
    """

    def __init__(self, name: str, zone: str, host: str) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        ports = free_ports(host, 4)
        self.callers, self.readiness, self.directory, self.peers = ports
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        # Address of the store for this instance, if it isn't the store's own.
        self.store_address = ""


class Site:
    """A running deployment; an async context manager that ends all processes that it started.

    Args:
        zones: Region of each availability zone.
        record: Receives lines about what happens.
    """

    def __init__(self, zones: dict[str, str], record: Record) -> None:
        self.zones = zones
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        # A network of its own for each run, so that the fixed metrics port is free.
        self.network = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
        self.next_host = 1
        self.instances: dict[str, Instance] = {}
        self.store: asyncio.subprocess.Process | None = None
        self.store_address = ""
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Site:
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        host = self.new_host()
        port = free_ports(host, 1)[0]
        self.store_address = f"{host}:{port}"
        self.store = await asyncio.create_subprocess_exec(
            "python3",
            *("-m", "standins", "platform_store", str(port), f"host={host}"),
            cwd=ROOT,
            env=self._environment(),
            stdout=asyncio.subprocess.PIPE,
        )
        await asyncio.wait_for(self.store.stdout.readline(), START_LIMIT_S)
        return self

    async def __aexit__(self, *_: typing.Any) -> None:
        processes = [item.process for item in self.instances.values() if item.process]
        for process in [*processes, self.store]:
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        await self.session.close()
        self.folder.cleanup()

    def new_host(self) -> str:
        """Return a loopback address that nothing else of this deployment has."""
        self.next_host += 1
        return f"{self.network}.{self.next_host}"

    async def put(self, key: str, value: typing.Any) -> None:
        """Write an item to the store as the operator or a replica does; None removes it."""
        url = f"http://{self.store_address}/admin/put"
        async with self.session.post(url, json={"key": key, "value": value}) as response:
            if response.status != 200:
                raise CannotRunError("the store refused an item")

    async def register(self, replica: typing.Any, **fields: typing.Any) -> None:
        """Write the entry of a replica to the store."""
        entry = {
            "service": replica.service,
            "address": replica.address,
            "zone": replica.zone,
            "version": "v1",
            "capacity": replica.capacity,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": replica.born_ms,
        }
        await self.put(f"servers/{replica.name}", entry | fields)

    def add_instance(self, name: str, zone: str) -> Instance:
        """Add an instance that is not started yet."""
        instance = self.instances[name] = Instance(name, zone, self.new_host())
        return instance

    async def start(self, instance: Instance) -> None:
        """Start an instance with the command and the settings of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["edge"]
        template = (ROOT / role["template"]).read_text()
        path = pathlib.Path(self.folder.name) / f"{instance.name}.ini"
        path.write_text(platform_site.render_settings(template, self._fields(instance)))
        log = pathlib.Path(self.folder.name) / f"{instance.name}.log"
        with log.open("ab") as output:
            instance.process = await asyncio.create_subprocess_exec(
                *shlex.split(role["run"]),
                cwd=ROOT,
                env=self._environment() | {"YUCCAHITCH_SETTINGS": str(path)},
                stdout=output,
                stderr=output,
            )
        instance.starts += 1

    async def wait_until_ready(self, *instances: Instance) -> None:
        """Wait until instances say that they are ready."""
        limit = time.monotonic() + START_LIMIT_S
        for instance in instances:
            while not await self.is_ready(instance):
                if time.monotonic() > limit:
                    raise CannotRunError(f"{instance.name} is not ready")
                await asyncio.sleep(0.1)

    async def is_ready(self, instance: Instance) -> bool:
        """Ask an instance whether it is ready."""
        url = f"http://{instance.host}:{instance.readiness}/api/ready"
        try:
            timeout = aiohttp.ClientTimeout(total=1.0)
            async with self.session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def log_of(self, instance: Instance) -> str:
        """Return what an instance wrote to its output."""
        return (pathlib.Path(self.folder.name) / f"{instance.name}.log").read_text("latin-1")

    def _environment(self) -> dict[str, str]:
        path = f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}"
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        return kept | {"PYTHONPATH": path, "PYTHONDONTWRITEBYTECODE": "1"}

    def _fields(self, instance: Instance) -> dict[str, typing.Any]:
        """Return the fields with which the platform fills in the template."""
        return {
            "nodeName": instance.name,
            "ip": instance.host,
            "zone": instance.zone,
            "region": self.zones[instance.zone],
            "zones": self.zones,
            "listen": {
                "frontend": f"{instance.host}:{instance.callers}",
                "readiness": f"{instance.host}:{instance.readiness}",
                "directory": f"{instance.host}:{instance.directory}",
            },
            "internalPorts": [instance.peers, instance.peers],
            "heartbeatMs": HEARTBEAT_MS,
            "bounds": BOUNDS,
            "provider": {"address": instance.store_address or self.store_address},
        }


class Record:
    """Lines about what was sent, answered and run, for ``record.txt``."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.started_at = time.monotonic()
        self.lines: list[str] = []

    def write(self, text: str) -> None:
        """Add a line with the seconds since the start."""
        self.lines.append(f"{time.monotonic() - self.started_at:8.3f}  {text}")

    def save(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free on a host, for TCP and UDP, each time others."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((host, port))
            except OSError:
                continue
            if port not in (*ports, METRICS_PORT):
                ports.append(port)
    return ports


def config(
    routes: list[dict[str, typing.Any]], *, version: int = 1, **fields: typing.Any
) -> dict[str, typing.Any]:
    """Return a configuration with one tenant, ``club``, whose key is ``key-of-club``."""
    services = sorted({route["service"] for route in routes})
    base = {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "healthPath": "/health"} for name in services],
        "tenants": [{"name": "club", "apiKeys": ["key-of-club"]}],
        "limits": LIMITS,
    }
    return base | fields


def route(name: str, service: str, kind: str, **fields: typing.Any) -> dict[str, typing.Any]:
    """Return a route of the host ``ice.example`` whose prefix is its name."""
    base = {
        "name": name,
        "host": "ice.example",
        "pathPrefix": f"/{name}/",
        "service": service,
        "kind": kind,
        "maxAttempts": 2 if kind == "safe" else 1,
        "timeoutMs": 4000,
        "targetLatencyMs": 500,
        "priority": 1,
    }
    return base | fields


def run_case(case: typing.Callable[[Record, bool], typing.Awaitable[bool]]) -> typing.NoReturn:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    Args:
        case: Gets the record and whether to disturb; returns whether the rule was broken.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    status = 2
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, with_trouble), 110))
        status = 1 if broken else 0
        record.write("the rule was broken" if broken else "the rule held")
    except (CannotRunError, OSError, TimeoutError, aiohttp.ClientError) as error:
        record.write(f"the case couldn't run: {error!r}")
    record.save()
    print(json.dumps({"trouble": with_trouble, "exit": status, "last": record.lines[-1]}))
    sys.exit(status)
