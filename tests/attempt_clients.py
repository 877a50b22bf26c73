"""Builds the clients that make attempts, and attempts for them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random

import aiohttp

from tests import builders, forwarding_pair, intake_builders, platform_builders
from yuccahitch import clock, events
from yuccahitch.messages import actions, requests, store
from yuccahitch.platform import store as platform_store
from yuccahitch.tasks import (
    answer_stream,
    front_server,
    mailbox,
    metrics,
    peer_client,
    pollers,
    replica_client,
    store_client,
    upstream_client,
)


def a_log(time):
    """Return the log of an instance under test."""
    return events.Log("edge-1~1", events.HybridClock(time.wall))


def an_upstream_client(*, on_reply=lambda reply: None):
    """Return a client for upstreams of the own interface."""
    time = clock.SystemClock()
    return upstream_client.UpstreamClient(
        time=time, log=a_log(time), on_reply=on_reply, on_notice=lambda notice: None
    )


def a_replica_client():
    """Return a client for upstreams of the platform."""
    time = clock.SystemClock()
    return replica_client.ReplicaClient(time=time, log=a_log(time), on_notice=lambda notice: None)


def a_peer_client():
    """Return a client for other instances."""
    time = clock.SystemClock()
    return peer_client.PeerClient(
        "edge-1~1",
        secret="secret",
        timeout_s=1.0,
        time=time,
        log=a_log(time),
        on_reply=lambda reply: None,
    )


@contextlib.asynccontextmanager
async def running(client):
    """Run a client."""
    task = asyncio.ensure_future(client.run())
    try:
        yield client
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def running_upstream_client():
    """Run a client for upstreams of the own interface."""
    return running(an_upstream_client())


def post_dispatch(client, action, stream):
    """Post an attempt to a client."""
    client.inbox.post(upstream_client.OpenDispatch(action, stream))


def send_call(client, address, deadline):
    """Post a call with a deadline to a client; return the stream of its answer."""
    action = a_call(address)
    action.request.deadline = deadline
    stream = answer_stream.AnswerStream(
        action.request.id, action.attempt, capacity=8, memory=intake_builders.an_answer_memory()
    )
    post_dispatch(client, action, stream)
    return stream


def a_call(address, method="POST", *, body=b"x"):
    """Return the dispatch of a call to a plain service at an address."""
    request = builders.an_order(
        kind=requests.CALL, method=method, path="/orders/7", body=body, deadline=1e9
    )
    return actions.Dispatch(
        upstream="u1",
        address=address,
        attempt=1,
        request=request,
        max_tokens=0,
        priority=0,
        echoes_request_id=False,
    )


def a_chat(address, *, echoes_request_id, stream=False, words="ice"):
    """Return the dispatch of a chat to an engine at an address."""
    body = json.dumps(builders.chat_body(messages=[{"role": "user", "content": words}])).encode()
    return actions.Dispatch(
        upstream="u1",
        address=address,
        attempt=1,
        request=builders.a_request(body=body, stream=stream, deadline=1e9),
        max_tokens=20,
        priority=0,
        echoes_request_id=echoes_request_id,
    )


def client_with_attempt(receivers, port):
    """Return a client that does not run yet, and the stream of the attempt in its mailbox."""
    if receivers == "other instances":
        client = a_peer_client()
        hop = builders.a_hop()
        action = actions.Forward(
            instance="edge-2~1",
            address=f"127.0.0.1:{port}",
            attempt=1,
            request=builders.a_request(),
            hop=hop,
            deadline_in=5.0,
        )
        stream = answer_stream.AnswerStream(
            action.request.id, 1, capacity=8, memory=intake_builders.an_answer_memory()
        )
        client.inbox.post(peer_client.OpenForward(action, stream))
        return client, stream
    if receivers == "platform upstreams":
        client = a_replica_client()
        action = platform_builders.a_dispatch("u1", incarnation="u1~1")
        action.address = f"127.0.0.1:{port}"
    else:
        client = an_upstream_client()
        action = a_call(f"http://127.0.0.1:{port}")
    stream = answer_stream.AnswerStream(
        action.request.id, 1, capacity=8, memory=intake_builders.an_answer_memory()
    )
    post_dispatch(client, action, stream)
    return client, stream


async def read_load_report(url):
    """Poll the load of an upstream once; return the JSON, or None if it can't be read."""
    poller = pollers.Pollers(
        builders.quick_settings("muscat-a-1", "muscat-a", "muscat-a1"),
        core_inbox=mailbox.Mailbox(),
    )
    async with aiohttp.ClientSession() as session:
        poller.session = session
        return await poller._get_json(url + "/load", pollers.MAX_REPORT_BYTES)


def a_store_client(url, *, dialect=platform_store, on_reply=lambda reply: None):
    """Return a client of a store at a URL, by default of the platform's."""
    time = clock.SystemClock()
    return store_client.StoreClient(
        url,
        prefix="",
        timeout_s=10.0,
        time=time,
        log=a_log(time),
        on_reply=on_reply,
        on_watch_event=lambda event: None,
        rng=random.Random(1),
        dialect=dialect,
        poll_wait_s=1.0,
    )


@contextlib.asynccontextmanager
async def running_store_client(client):
    """Run a client of a store; wait until its sessions are open."""
    async with running(client):
        while client.call_session is None or client.poll_session is None:
            await asyncio.sleep(0.01)
        yield client


async def call_store(url, call):
    """Make a call to a store; return the reply."""
    async with running_store_client(a_store_client(url)) as client:
        return await client.execute_call(call)


async def read_store_item(url):
    """Read an item of the store; return the reply."""
    return await call_store(url, store.Range("op/"))


async def poll_store_change(url):
    """Poll the store for a change; return why that failed."""
    async with running_store_client(a_store_client(url)) as client:
        try:
            return await client._fetch_changes("op/", 1, 1.0)
        except aiohttp.ClientError as error:
            return error


class FrontWithoutConfig:
    """The HTTP servers of an instance that has read no configuration.

    Attributes:
        url: Base URL for callers.
    """

    __slots__ = ("url", "server", "node")

    def __init__(self):
        self.node = forwarding_pair.Node("entry", "east")
        settings = self.node.edge.decisions.settings
        (port,) = forwarding_pair.free_ports(1)
        settings.instance.callers = f"127.0.0.1:{port}"
        settings.instance.readiness = settings.instance.directory = ""
        settings.instance.metrics = ""
        self.url = f"http://127.0.0.1:{port}"
        self.server = front_server.FrontServer(
            settings,
            core_inbox=self.node.core.inbox,
            edge_state=self.node.edge.decisions,
            mailboxes=self.node.mailboxes,
            metrics_registry=metrics.Metrics(),
            caller_intake=self.node.server.caller_intake,
            time=clock.SystemClock(),
        )

    async def start(self):
        """Start the core and the server."""
        self.node.tasks.start(self.node.core.run())
        await self.server.start()

    async def close(self):
        """Stop both."""
        await self.server.stop()
        await self.node.tasks.stop()
