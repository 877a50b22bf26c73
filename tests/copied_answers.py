"""Builds clients and instances before an upstream that writes its answers more than once."""

from __future__ import annotations

import asyncio
import time

from standins import copying_upstream
from tests import attempt_clients, forwarding_pair, intake_builders, platform_builders
from yuccahitch.messages import answers
from yuccahitch.tasks import answer_stream, mailbox, runner

HOST = "127.0.0.1"
# Id of the upstream before and after its crash, and of another one.
OLD, NEW, THIRD = "old", "new", "third"
LIMIT_S = 6.0


class ClientUnderTest:
    """A client for upstreams with a real connection to one that has two names.

    Attributes:
        client: The client.
        upstream: The stand-in.
        notices: What the client reported of the upstream.
    """

    __slots__ = ("client", "upstream", "address", "notices", "tasks")

    def __init__(self, upstream):
        self.client = attempt_clients.a_replica_client()
        self.upstream = upstream
        self.address = ""
        self.notices = []
        self.client.on_notice = self.notices.append
        self.tasks = mailbox.ChildTasks()

    async def start(self):
        """Start the upstream and the client."""
        (port,) = forwarding_pair.free_ports(1)
        self.address = f"{HOST}:{port}"
        await self.upstream.start(port)
        self.tasks.start(self.client.run())

    async def send(self, request_id, *, name=OLD, attempt=1, body=b"", streams=False, method=""):
        """Send a request under a name of the upstream; return the parts of its answer."""
        action = platform_builders.a_dispatch(name, incarnation=f"{name}@1")
        action.address = self.address
        action.attempt = attempt
        action.streams = streams
        action.request.id = request_id
        action.request.body = body
        action.request.method = method or ("POST" if body else "GET")
        action.request.headers = (("Host", platform_builders.HOST),)
        stream = answer_stream.AnswerStream(
            request_id, attempt, capacity=64, memory=intake_builders.an_answer_memory()
        )
        attempt_clients.post_dispatch(self.client, action, stream)
        parts = []
        async with asyncio.timeout(LIMIT_S):
            while not parts or type(parts[-1]) not in (answers.End, answers.Failure):
                parts.append(await stream.get())
        # The connection goes back to the pool after the last part.
        await asyncio.gather(stream.producer)
        return parts

    async def close(self):
        """Stop both."""
        await self.tasks.stop()
        await self.upstream.close()


class ReturnedUpstream:
    """An instance before an upstream that has come back at its address under another name.

    Attributes:
        node: The instance that callers ask.
        upstream: The stand-in at the shared address; it answers to the new name only.
        third: Another upstream of the same service.
    """

    __slots__ = ("node", "upstream", "third", "service", "addresses", "requests")

    def __init__(self, upstream, *, service="desk"):
        self.node = forwarding_pair.Node("entry", "east")
        self.upstream = upstream
        self.third = copying_upstream.CopyingUpstream([THIRD], streams=upstream.streams)
        self.service = service
        self.addresses = {}
        self.requests = mailbox.ChildTasks()

    async def start(self):
        """Start everything; the instance knows of no upstream yet."""
        node_port, shared_port, third_port = forwarding_pair.free_ports(3)
        await self.upstream.start(shared_port)
        await self.third.start(third_port)
        self.addresses = {OLD: shared_port, NEW: shared_port, THIRD: third_port}
        await self.node.start(node_port)
        edge = self.node.edge
        edge.now = time.monotonic()
        edge.publish(platform_builders.a_publication())
        edge.mark_store_read()
        edge.decisions.members.own.ready = True

    def register(self, name, *, node=None, zone="east-a"):
        """Let an instance know of an upstream by one of its names."""
        edge = (node or self.node).edge
        edge.now = time.monotonic()
        edge.register_upstream(
            name,
            service=self.service,
            zone=zone,
            address=f"{HOST}:{self.addresses[name]}",
            capacity=8,
        )

    def send(self, path, request_id, *, method="GET", body=b""):
        """Run a caller's request; return its sink and its task."""
        sink = forwarding_pair.RecordingSink()
        request = forwarding_pair.a_platform_request(path, method, body, LIMIT_S, request_id)
        request_runner = runner.Runner(
            self.node.mailboxes,
            request,
            sink,
            memory=intake_builders.an_answer_memory(),
            now=time.monotonic,
        )
        return sink, self.requests.start(request_runner.run())

    def runs(self, request_id):
        """Return the records of a request's runs at all upstreams, by their beginning."""
        records = self.upstream.runs(request_id) + self.third.runs(request_id)
        return sorted(records, key=lambda record: record["began_at"])

    async def close(self):
        """Stop everything."""
        await self.requests.stop()
        await self.node.close()
        await self.upstream.close()
        await self.third.close()
