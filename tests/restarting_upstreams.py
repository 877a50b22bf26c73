"""Builds an instance before upstreams that start again at their addresses, with real sockets.

The test sets what the instance knows of them; no store is asked.
"""

from __future__ import annotations

import asyncio
import itertools
import time
import typing

from aiohttp import web

from standins import replica
from tests import forwarding_pair, intake_builders, platform_builders
from yuccahitch.tasks import mailbox, runner

HOST = "127.0.0.1"
EVENT_COUNT = 6
# Pause between the events of a stream, in seconds.
GAP_S = 0.05
LIMIT_S = 6.0
_numbers = itertools.count(1)


class RestartingUpstream:
    """An upstream that can start again under its id and at its address.

    Attributes:
        name: Its id.
        port: Port that it listens on.
        born_ms: Its present start, in milliseconds since the Unix epoch.
        version: Version of its present software.
        state: State of its present start.
    """

    __slots__ = ("name", "port", "born_ms", "version", "state", "app_runner")

    def __init__(self, name: str, port: int) -> None:
        self.name = name
        self.port = port
        self.born_ms = 1000
        self.version = ""
        self.state: replica.Replica | None = None
        self.app_runner: web.AppRunner | None = None

    async def start(self, version: str) -> None:
        """Start with a version of the software; its connections break if it runs already."""
        await self.stop()
        self.born_ms += 1
        self.version = version
        app = replica.application(
            id=self.name, events=str(EVENT_COUNT), version=version, born=str(self.born_ms)
        )
        self.state = app["state"]
        self.state.faults.values["gap_s"] = GAP_S
        self.app_runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.0, handler_cancellation=True
        )
        await self.app_runner.setup()
        await web.TCPSite(self.app_runner, HOST, self.port, reuse_address=True).start()

    async def stop(self) -> None:
        """End, and break all connections."""
        if self.app_runner is not None:
            for connection in self.app_runner.server.connections:
                connection.transport.abort()
            await self.app_runner.cleanup()
            self.app_runner = None


class RestartingSite:
    """An instance with upstreams that start again while it has their former entries.

    Attributes:
        node: The instance.
        upstreams: The upstreams by id.
    """

    __slots__ = ("node", "upstreams", "requests")

    def __init__(self) -> None:
        self.node = forwarding_pair.Node("entry", "east")
        self.node.replicas.on_notice = self.node.core.inbox.post
        self.upstreams: dict[str, RestartingUpstream] = {}
        self.requests = mailbox.ChildTasks()

    async def start(self, versions: dict[str, str]) -> None:
        """Start the instance, and an upstream of each version by id, which it knows of."""
        node_port, *ports = forwarding_pair.free_ports(1 + len(versions))
        await self.node.start(node_port)
        edge = self.node.edge
        edge.now = time.monotonic()
        stream = {"kind": "streaming", "service": "model", "timeoutMs": 5000, "maxAttempts": 4}
        edge.publish(
            platform_builders.a_publication(
                routes=[
                    platform_builders.a_published_route("plan", "/plan/", **stream, resumable=True),
                    platform_builders.a_published_route("ask", "/ask/", **stream),
                ]
            )
        )
        edge.mark_store_read()
        edge.decisions.members.own.ready = True
        for port, (name, version) in zip(ports, versions.items(), strict=True):
            self.upstreams[name] = RestartingUpstream(name, port)
            await self.upstreams[name].start(version)
            self.register(name)

    def register(self, name: str, **fields: typing.Any) -> None:
        """Let the instance know of the present start of an upstream."""
        upstream = self.upstreams[name]
        entry = {
            "service": "model",
            "address": f"{HOST}:{upstream.port}",
            "capacity": 8,
            "version": upstream.version,
            "born": upstream.born_ms,
        }
        self.node.edge.now = time.monotonic()
        self.node.edge.register_upstream(name, **(entry | fields))

    def send(
        self, path: str, headers: dict[str, str] | None = None
    ) -> tuple[str, forwarding_pair.RecordingSink, asyncio.Task[None]]:
        """Run a caller's request; return its id, its sink and its task."""
        request_id = f"restart-{next(_numbers)}"
        sink = forwarding_pair.RecordingSink()
        request = forwarding_pair.a_platform_request(
            path, "GET", b"", LIMIT_S, request_id, headers or {}
        )
        request_runner = runner.Runner(
            self.node.mailboxes,
            request,
            sink,
            memory=intake_builders.an_answer_memory(),
            now=time.monotonic,
        )
        return request_id, sink, self.requests.start(request_runner.run())

    async def ask(
        self, path: str, headers: dict[str, str] | None = None
    ) -> tuple[str, forwarding_pair.RecordingSink]:
        """Run a caller's request to its end; return its id and its sink."""
        request_id, sink, task = self.send(path, headers)
        await asyncio.wait_for(task, LIMIT_S + 1.0)
        return request_id, sink

    def reports_asked(self) -> int:
        """Return how often the present starts of the upstreams were asked for their reports."""
        return sum(upstream.state.report.asked for upstream in self.upstreams.values())

    def set_manner(self, manner: str) -> None:
        """Let all upstreams answer with their reports in some manner."""
        for upstream in self.upstreams.values():
            upstream.state.report.switches.values["manner"] = manner

    async def close(self) -> None:
        """Stop everything."""
        await self.requests.stop()
        await self.node.close()
        for upstream in self.upstreams.values():
            await upstream.stop()


def versions_in(sink: forwarding_pair.RecordingSink) -> set[str]:
    """Return the software versions that the events of an answer name."""
    lines = sink.body.decode().splitlines()
    return {line.split()[3] for line in lines if line.startswith("data: token ")}
