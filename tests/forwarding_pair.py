"""Builds two instances of different regions in this process, with real sockets between them.

The one in east serves callers and forwards to the one in west through a relay. Their knowledge of
configuration, upstreams and each other is set by the test; no store is asked.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import socket

from aiohttp import web

from standins import link, replica
from tests import intake_builders, platform_builders
from yuccahitch import clock, events
from yuccahitch.messages import requests
from yuccahitch.platform import requests as platform_requests
from yuccahitch.tasks import (
    core,
    mailbox,
    metrics,
    peer_client,
    peer_server,
    replica_client,
    runner,
)

HOST = "127.0.0.1"
SYSTEM_CLOCK = clock.SystemClock()
EVENT_COUNT = 6
# Ports below those that the system gives to clients.
SERVER_PORTS = range(20_000, 32_000)
_request_numbers = itertools.count(1)
# Each is tried once a round; the start differs between runs at the same time.
_candidates = itertools.cycle(random.sample(SERVER_PORTS, len(SERVER_PORTS)))


class RecordingSink:
    """Receives an answer in the place of a caller.

    Attributes:
        head: Status and headers, or None before they came.
        body: Bytes of the body so far.
        ends: How the answer ended, one entry for each end: ``complete``, ``cut``, or the error of
            a refusal.
    """

    __slots__ = ("head", "body", "ends")

    def __init__(self):
        self.head = None
        self.body = bytearray()
        self.ends = []

    async def start(self, head):
        """Record status and headers."""
        self.head = head

    async def write(self, chunk):
        """Record body bytes."""
        self.body += chunk.data

    async def flush(self):
        """Do nothing: nothing is held back."""

    async def end(self, part):
        """Record that the answer is complete."""
        self.ends.append("complete")

    async def cut(self, part):
        """Record that the answer breaks off."""
        self.ends.append("cut")

    async def refuse(self, error, operation):
        """Record a refusal."""
        self.ends.append(error)

    def event_ids(self):
        """Return the ids of the events that came."""
        lines = self.body.decode().splitlines()
        return [int(line.removeprefix("id: ")) for line in lines if line.startswith("id: ")]


class Node:
    """One instance: its decisions, clients and server for other instances."""

    __slots__ = ("edge", "core", "replicas", "peers", "server", "mailboxes", "tasks", "log_lines")

    def __init__(self, name, region):
        system_clock = clock.SystemClock()
        self.edge = platform_builders.EdgeUnderTest(name, region=region, now=SYSTEM_CLOCK.now())
        self.log_lines = []
        log = events.Log(self.edge.decisions.instance, events.HybridClock(system_clock.wall))
        self.replicas = replica_client.ReplicaClient(
            time=system_clock, log=log, on_notice=lambda notice: None
        )
        self.peers = peer_client.PeerClient(
            self.edge.decisions.instance,
            secret="",
            timeout_s=1.0,
            time=system_clock,
            log=log,
            on_reply=lambda reply: None,
        )
        self.core = core.Core(
            self.edge.decisions,
            time=system_clock,
            log=log,
            metrics_collector=metrics.Metrics(),
            store=mailbox.Mailbox(),
            peers=self.peers.inbox,
            upstreams=self.replicas.inbox,
            pulse_socket=mailbox.Mailbox(),
        )
        self.mailboxes = runner.Mailboxes(
            core=self.core.inbox,
            upstreams=self.replicas.inbox,
            peers=self.peers.inbox,
            stream_capacity=64,
            write_timeout_s=10.0,
        )
        self.server = peer_server.PeerServer(
            secret="",
            core_inbox=self.core.inbox,
            mailboxes=self.mailboxes,
            caller_intake=intake_builders.an_intake(log),
            time=system_clock,
            log=log,
        )
        self.tasks = mailbox.ChildTasks()

    async def start(self, port):
        """Start the tasks, and listen for other instances on a port."""
        for component in (self.core, self.replicas, self.peers):
            self.tasks.start(component.run())
        await self.server.start(HOST, port)

    async def close(self):
        """Stop the server and the tasks."""
        await self.server.stop()
        await self.tasks.stop()


class ForwardingPair:
    """An instance in east without upstreams, one in west with one, and the relay between them.

    Attributes:
        entry: The instance in east.
        remote: The instance in west.
        link: The relay.
        upstreams: State of each upstream stand-in by name.
    """

    __slots__ = ("entry", "remote", "link", "upstreams", "addresses", "runners", "requests")

    def __init__(self):
        self.entry = Node("entry", "east")
        self.remote = Node("remote", "west")
        self.link = None
        self.upstreams = {}
        self.addresses = {}
        self.runners = []
        self.requests = mailbox.ChildTasks()

    async def start(self):
        """Start everything; the entry knows of the other instance and of its upstream."""
        entry_port, remote_port, relay_port = free_ports(3)
        await self._serve(
            link.application(f"{HOST}:{relay_port}", f"{HOST}:{remote_port}"), free_ports(1)[0]
        )
        self.link = self.runners[0].app["state"]
        for name, count in (("near", EVENT_COUNT), ("far", EVENT_COUNT), ("plain", 0)):
            (port,) = free_ports(1)
            app = replica.application(id=name, events=str(count))
            await self._serve(app, port)
            self.upstreams[name] = app["state"]
            self.addresses[name] = f"{HOST}:{port}"
        await self.entry.start(entry_port)
        await self.remote.start(remote_port)
        own = self.remote.edge.decisions.members.own
        own.host, own.peer_port = HOST, relay_port
        for node in (self.entry, self.remote):
            node.edge.now = SYSTEM_CLOCK.now()
            node.edge.publish(platform_builders.a_publication())
            node.edge.mark_store_read()
            node.edge.decisions.members.own.ready = True
            self.register(node, "far", "west-a")
        self.entry.edge.discover(self.remote.edge)

    def register(self, node, name, zone, service="model"):
        """Let an instance know of an upstream."""
        node.edge.register_upstream(
            name, service=service, zone=zone, address=self.addresses[name], capacity=8
        )

    def register_plain(self):
        """Let both instances know of a plain service in west."""
        for node in (self.entry, self.remote):
            self.register(node, "plain", "west-a", service="desk")

    def register_near(self):
        """Let the entry know of an upstream of its own region."""
        self.register(self.entry, "near", "east-a")

    def send(
        self,
        path,
        *,
        method="GET",
        body=b"",
        deadline_s=8.0,
        request_id=None,
        sink=None,
        headers=(),
    ):
        """Run a request at the entry; return its id, its sink and its task."""
        request_id = request_id or f"pair-{next(_request_numbers)}"
        sink = sink or RecordingSink()
        request = a_platform_request(path, method, body, deadline_s, request_id, headers)
        task = self.requests.start(
            runner.Runner(
                self.entry.mailboxes,
                request,
                sink,
                memory=intake_builders.an_answer_memory(),
                now=SYSTEM_CLOCK.now,
            ).run()
        )
        return request_id, sink, task

    def runs(self, request_id):
        """Return the records of a request's runs at all upstreams, by upstream."""
        return {
            name: record
            for name, state in self.upstreams.items()
            for record in state.received
            if record["id"] == request_id and record["ran"]
        }

    def overlap_s(self, request_id):
        """Return for how long an upstream worked on a request after the next one had begun."""
        runs = sorted(self.runs(request_id).values(), key=lambda record: record["began_at"])
        now = SYSTEM_CLOCK.now()
        return max(
            (
                first.get("ended_at", now) - second["began_at"]
                for first, second in itertools.pairwise(runs)
            ),
            default=0.0,
        )

    async def stop_remote(self):
        """End the instance in west as its death does: its runs, connections and ports."""
        await self.remote.server.stop()
        await self.runners[0].cleanup()

    async def close(self):
        """Stop everything."""
        await self.requests.stop()
        self.link.faults.values["half_open"] = False
        for node in (self.entry, self.remote):
            await node.close()
        for app_runner in self.runners:
            await app_runner.cleanup()
        await asyncio.sleep(0.1)

    async def _serve(self, app, port):
        app_runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.1, handler_cancellation=True
        )
        await app_runner.setup()
        await web.TCPSite(app_runner, HOST, port).start()
        self.runners.append(app_runner)


def a_platform_request(path, method, body, deadline_s, request_id, headers=()) -> requests.Request:
    """Return a caller's request on the platform, with the account's key and further headers."""
    headers = dict(headers) | {
        "Host": platform_builders.HOST,
        "Authorization": f"Token {platform_builders.PLATFORM_KEY}",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(int(deadline_s * 1000)),
    }
    return platform_requests.decode(
        method=method,
        path=path,
        headers=headers.items(),
        body=body,
        now=SYSTEM_CLOCK.now(),
        new_id=request_id,
    )


def free_ports(count):
    """Return ports that nothing listens on, and that the system gives to no client meanwhile."""
    return list(itertools.islice(filter(_is_free, _candidates), count))


def _is_free(port):
    """Return whether a server can listen on a port."""
    try:
        socket.create_server((HOST, port)).close()
    except OSError:
        return False
    return True


async def wait_for(condition, limit_s=10.0):
    """Wait until a condition holds; raise TimeoutError if that takes too long."""
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)
