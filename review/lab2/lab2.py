"""A small deployment of the platform on loopback, for the scripts of the second review.

The instances are processes, started with the command of the deploy file and settings rendered from
its template. Store, replicas and clients run in this process: the store is the project's stand-in,
the replicas and the clients are below. Every address is a loopback address with a free port.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT)]

from aiohttp import web  # noqa: E402

from standins import platform_site, platform_store  # noqa: E402

HEARTBEAT_S = 1.2
START_LIMIT_S = 30.0
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 5000,
    "ackMs": 6000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 3000,
    "rollbackSlackMs": 250,
    "outerMs": 8000,
    "strictRevocation": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retryBudgetExtra": 52,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaSlack": 190000,
    "warmupOverage": 1.5,
    "warmupSlack": 3,
    "evacMs": 5000,
    "recoverS": 12,
    "passMs": 600,
    "reuseWindowS": 10,
    "ttl_max_s": 5,
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
DISRUPTED = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, for ``record.txt``; its times are in seconds."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.path = folder / "record.txt"
        self.began_at = time.monotonic()
        self.lines: list[tuple[float, str]] = []

    def note(self, text: str) -> None:
        """Add a line."""
        self.lines.append((time.monotonic() - self.began_at, text))

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self.note(text)
        print(text, flush=True)

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("".join(f"{at:9.3f} {text}\n" for at, text in self.lines))


class Run:
    """A request that has reached a replica.

    Attributes:
        replica: Name of the replica.
        id: Id of the request.
        headers: Its headers, names in lower case.
        arrived_at: When its body had come, in monotonic seconds.
        began_at: When the replica began to work on it, or None if it has not.
        ended_at: When the replica was done with it, or None.
        ending: How it ended.
    """

    def __init__(self, replica: str, headers: dict[str, str], line: str, body: bytes) -> None:
        self.replica = replica
        self.id = headers.get("x-request-id", "")
        self.headers = headers
        self.line = line
        self.body = body
        self.arrived_at = time.monotonic()
        self.began_at: float | None = None
        self.ended_at: float | None = None
        self.ending = ""


class Replica:
    """A sound replica: it runs what comes for it, and stops when its connection closes.

    Args:
        lab: The deployment.
        name: Its id.
        fields: Fields of its entry in the store.
        answer: Coroutine that works on a run and answers it; see ``reply``.
    """

    def __init__(self, lab: Lab, name: str, fields: dict, answer) -> None:
        self.lab = lab
        self.name = name
        self.answer = answer
        self.host, self.port = lab.free_address(fields["zone"])
        self.entry = {
            "address": f"{self.host}:{self.port}",
            "version": "v1",
            "capacity": 64,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": 0,
            "born": int(time.time() * 1000),
        } | fields
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen and register."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port, limit=2**20)
        await self.register()

    async def register(self, **fields) -> None:
        """Write the entry; between two changes of it only its ``sequence`` grows, unseen."""
        self.entry |= fields
        self.entry["sequence"] += 1
        await self.lab.put(f"servers/{self.name}", self.entry)

    async def stop(self) -> None:
        """Close everything; the entry stays."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def crash(self) -> None:
        """End at once, with all connections; nothing listens until ``come_back``."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def come_back(self) -> None:
        """Start again under the same id, and register as a new start."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port, limit=2**20)
        await self.register(born=int(time.time() * 1000))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                run = Run(self.name, headers, line, body)
                if line.startswith("GET /api/report"):
                    await self._report(writer)
                    continue
                self.lab.runs.append(run)
                if headers.get("x-expected-instance", self.name) != self.name:
                    run.ending = "421"
                    await reply(writer, run, 421, b"", {"X-Not-Executed": "1"}, signed=False)
                    continue
                await self._work(reader, writer, run)
        self.writers.discard(writer)
        writer.close()

    async def _work(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, run: Run
    ) -> None:
        """Answer a run; drop it when its connection closes."""
        working = asyncio.create_task(self.answer(run, writer))
        gone = asyncio.create_task(wait_for_end(reader, writer))
        await asyncio.wait([working, gone], return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        run.ended_at = time.monotonic()
        if not working.done():
            working.cancel()
            run.ending = run.ending or "dropped, the connection closed"
            raise ConnectionResetError
        await working
        run.ending = run.ending or "answered"

    async def _report(self, writer: asyncio.StreamWriter) -> None:
        body = json.dumps({"born": self.entry["born"], "stage": "prefill_decode"}).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        )
        await writer.drain()


class Lab:
    """The deployment.

    Args:
        record: Receives what is sent, answered and run.
        zones: Region of each zone.
        instances: Zone of each instance.
        bounds: Bounds that differ from those of the platform's example.

    Attributes:
        runs: What has reached replicas.
        exits: How instances ended by themselves.
    """

    def __init__(
        self, record: Record, *, zones: dict[str, str], instances: dict[str, str], **bounds: float
    ) -> None:
        self.record = record
        self.zones = zones
        self.instances = instances
        self.bounds = BOUNDS | bounds
        self.folder = tempfile.TemporaryDirectory()
        self.network = f"127.{os.getpid() % 200 + 20}"
        self.addresses: set[tuple[str, int]] = set()
        self.hosts = {name: self.host(zone) for name, zone in instances.items()}
        self.ports = {name: self._ports(name) for name in instances}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.started: set[str] = set()
        self.replicas: list[Replica] = []
        self.runs: list[Run] = []
        self.exits: list[str] = []
        self.memory_mb = 300
        self.descriptors = 4100
        self.store: platform_store.PlatformStore | None = None
        self.runner: web.AppRunner | None = None

    def host(self, zone: str) -> str:
        """Return a new loopback address of a zone."""
        self.host_count = getattr(self, "host_count", 0) + 1
        return f"{self.network}.{list(self.zones).index(zone) + 1}.{self.host_count}"

    def free_address(self, zone: str) -> tuple[str, int]:
        """Return a loopback address with a free port."""
        host = self.host(zone)
        return host, free_port(host)

    def _ports(self, name: str) -> dict[str, int]:
        kinds = ("frontend", "readiness", "directory", "peers", "metrics")
        return dict(zip(kinds, free_ports(self.hosts[name], len(kinds)), strict=True))

    def frontend(self, name: str) -> tuple[str, int]:
        """Return the address of an instance for clients."""
        return self.hosts[name], self.ports[name]["frontend"]

    async def start_store(self) -> None:
        """Start the store."""
        app = platform_store.application()
        self.store = app["state"]
        self.runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await self.runner.setup()
        self.store_address = self.free_address(next(iter(self.zones)))
        await web.TCPSite(self.runner, *self.store_address).start()

    async def put(self, key: str, value) -> None:
        """Write an item as the operator or a replica does; None removes it."""
        if value is None:
            self.store.remove(key)
        else:
            self.store.put(key, base64.b64encode(json.dumps(value).encode()).decode())
        await self.store.notify()

    async def add_replica(self, name: str, answer, **fields) -> Replica:
        """Start a replica and register it."""
        replica = Replica(self, name, fields, answer)
        self.replicas.append(replica)
        await replica.start()
        return replica

    async def start(self, *names: str) -> None:
        """Start instances, at the same moment, without waiting for them."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["edge"]
        template = (ROOT / deploy["template"]).read_text()
        for name in names:
            text = platform_site.render_settings(template, self._fields(name))
            metrics = f"{self.hosts[name]}:9464"
            text = text.replace(metrics, f"{self.hosts[name]}:{self.ports[name]['metrics']}")
            path = pathlib.Path(self.folder.name) / f"{name}.ini"
            path.write_text(text)
            self.started.add(name)
            log = (pathlib.Path(self.folder.name) / f"{name}.log").open("ab")
            self.processes[name] = await asyncio.create_subprocess_exec(
                *deploy["run"].split(),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "YUCCAHITCH_SETTINGS": str(path),
                },
                stdout=log,
                stderr=log,
            )
            log.close()

    def _fields(self, name: str) -> dict:
        """Return the fields from which the settings of an instance are rendered."""
        host, ports, zone = self.hosts[name], self.ports[name], self.instances[name]
        return {
            "nodeName": name,
            "ip": host,
            "zone": zone,
            "region": self.zones[zone],
            "zones": self.zones,
            "listen": {
                kind: f"{host}:{ports[kind]}" for kind in ("frontend", "readiness", "directory")
            },
            "internalPorts": [ports["peers"], ports["peers"]],
            "bootstrap": str(name not in self.started).lower(),
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "limits": {"memoryMb": self.memory_mb, "maxFds": self.descriptors},
            "bounds": self.bounds,
            "provider": {
                "address": f"{self.store_address[0]}:{self.store_address[1]}",
                "writesPerS": 400,
            },
        }

    async def wait_ready(self, *names: str) -> None:
        """Wait until instances say that they are ready."""
        until = time.monotonic() + START_LIMIT_S
        for name in names:
            while not await self.is_ready(name):
                if time.monotonic() > until:
                    raise TimeoutError(f"{name} does not become ready")
                await asyncio.sleep(0.05)

    async def is_ready(self, name: str) -> bool:
        """Return whether an instance says that it is ready."""
        try:
            status, _, _ = await ask(
                (self.hosts[name], self.ports[name]["readiness"]), "GET /api/ready", {}
            )
        except OSError:
            return False
        return status == 200

    def signal(self, name: str, number: int) -> None:
        """Send a signal to an instance."""
        self.processes[name].send_signal(number)

    async def kill(self, *names: str) -> None:
        """Kill instances at the same moment."""
        for name in names:
            self.signal(name, signal.SIGKILL)
        for name in names:
            await self.processes.pop(name).wait()

    def note_exits(self) -> None:
        """Record the instances that have ended by themselves."""
        for name, process in self.processes.items():
            if process.returncode is not None:
                self.exits.append(f"{name} ended with {process.returncode}")

    def log_of(self, name: str) -> str:
        """Return what an instance has logged."""
        return (pathlib.Path(self.folder.name) / f"{name}.log").read_text(errors="replace")

    async def close(self) -> None:
        """End all processes and servers."""
        self.note_exits()
        await self.kill(*[n for n, p in self.processes.items() if p.returncode is None])
        for replica in self.replicas:
            await replica.stop()
        if self.runner is not None:
            await self.runner.cleanup()
        for run in self.runs:
            began = "not run" if run.began_at is None else f"ran from {self.at(run.began_at)}"
            self.record.lines.append(
                (
                    run.arrived_at - self.record.began_at,
                    f"replica {run.replica} got {run.id}: {run.line}, {began}, "
                    f"{run.ending} at {self.at(run.ended_at)}",
                )
            )
        self.record.lines.sort(key=lambda line: line[0])
        if os.environ.get("KEEP_LOGS"):
            for name in self.instances:
                pathlib.Path(os.environ["KEEP_LOGS"], f"{name}.log").write_text(self.log_of(name))
        self.folder.cleanup()

    def at(self, moment: float | None) -> str:
        """Return a time as the record shows it."""
        return "-" if moment is None else f"{moment - self.record.began_at:.3f}"


def free_port(host: str) -> int:
    """Return a free port of an address."""
    return free_ports(host, 1)[0]


def free_ports(host: str, count: int) -> list[int]:
    """Return different free ports of an address."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((host, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its headers; raise IncompleteReadError at the end."""
    raw = await reader.readuntil(b"\r\n\r\n")
    line, *rest = raw.decode("latin-1").split("\r\n")
    pairs = (item.partition(":") for item in rest if item)
    return line, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def wait_for_end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Return when the other side closes the connection."""
    while not reader.at_eof() and not writer.transport.is_closing():
        await asyncio.sleep(0.01)


async def reply(
    writer: asyncio.StreamWriter,
    run: Run,
    status: int,
    body: bytes,
    headers: dict[str, str] | None = None,
    *,
    signed: bool = True,
) -> None:
    """Send a whole answer of a replica."""
    lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {run.id}", f"Content-Length: {len(body)}"]
    if signed:
        lines.append(f"X-Response-Signature: signed-by-{run.replica}")
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
    await writer.drain()


def request_bytes(line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a request; the line is method and path."""
    lines = [f"{line} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def ask(
    address: tuple[str, int], line: str, headers: dict[str, str], body: bytes = b""
) -> tuple[int, dict[str, str], bytes]:
    """Send a request over a new connection; return status, headers and body of the answer.

    Raises:
        OSError: When the connection ends without a complete answer.
    """
    reader, writer = await asyncio.open_connection(*address, limit=2**22)
    try:
        writer.write(request_bytes(line, {"Host": "x"} | headers, body))
        first, answer_headers = await read_head(reader)
        return int(first.split()[1]), answer_headers, await read_body(reader, answer_headers)
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("the connection ended without an answer") from error
    finally:
        writer.close()


def run_case(case, folder: pathlib.Path) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

    Args:
        case: Coroutine function that is given the record and returns whether the rule was broken.
        folder: Folder of the case.
    """
    record = Record(folder)
    record.say("with the disruption" if DISRUPTED else "without the disruption (TROUBLE=0)")
    try:
        is_broken = asyncio.run(case(record))
    except Exception as error:  # whatever it is, the case couldn't run
        record.say(f"the case could not run: {type(error).__name__}: {error}")
        record.write()
        raise SystemExit(2) from error
    record.say("RULE BROKEN" if is_broken else "the rule held")
    record.write()
    raise SystemExit(1 if is_broken else 0)
