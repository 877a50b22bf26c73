"""Builds the clients that make attempts, and attempts for them."""

from __future__ import annotations

import asyncio
import contextlib

from tests import builders, platform_builders
from yuccahitch import clock, events
from yuccahitch.messages import actions, requests
from yuccahitch.tasks import answer_stream, peer_client, replica_client, upstream_client


def a_log(time):
    """Return the log of an instance under test."""
    return events.Log("edge-1~1", events.HybridClock(time.wall))


def an_upstream_client():
    """Return a client for upstreams of the own interface."""
    time = clock.SystemClock()
    return upstream_client.UpstreamClient(
        time=time, log=a_log(time), on_reply=lambda reply: None, on_notice=lambda notice: None
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
async def running_upstream_client():
    """Run a client for upstreams of the own interface."""
    client = an_upstream_client()
    task = asyncio.ensure_future(client.run())
    try:
        yield client
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def post_dispatch(client, action, stream):
    """Post an attempt to a client."""
    client.inbox.post(upstream_client.OpenDispatch(action, stream))


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
        stream = answer_stream.AnswerStream(action.request.id, 1, capacity=8)
        client.inbox.post(peer_client.OpenForward(action, stream))
        return client, stream
    if receivers == "platform upstreams":
        client = a_replica_client()
        action = platform_builders.a_dispatch("u1", incarnation="u1~1")
        action.address = f"127.0.0.1:{port}"
    else:
        client = an_upstream_client()
        action = a_call(f"http://127.0.0.1:{port}")
    stream = answer_stream.AnswerStream(action.request.id, 1, capacity=8)
    post_dispatch(client, action, stream)
    return client, stream
