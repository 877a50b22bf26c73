"""Steps about the connections between instances."""

from __future__ import annotations

import socket

import behave
from grpclib import server

from yuccahitch import clock, events
from yuccahitch.tasks import peer_client


@behave.given("a peer that listens")
def step_start_peer(context):
    listener = socket.create_server(("127.0.0.1", 0))
    context.peer_address = f"127.0.0.1:{listener.getsockname()[1]}"
    peer = server.Server([])
    context.loop.run_until_complete(peer.start(sock=listener))
    context.add_cleanup(peer.close)


@behave.when("an instance connects to the peer")
def step_connect(context):
    time = clock.SystemClock()
    peers = peer_client.PeerClient(
        "edge-1~1",
        secret="secret",
        timeout_s=1.0,
        time=time,
        log=events.Log("edge-1~1", events.HybridClock(time.wall)),
        on_reply=lambda reply: None,
    )
    channel = peers.channel(context.peer_address)
    context.connection = context.loop.run_until_complete(channel.__connect__())
    context.add_cleanup(channel.close)


@behave.then("the connection closes once sent bytes stay unacknowledged for {seconds:d} seconds")
def step_check_timeout(context, seconds):
    tcp_socket = context.connection.connection._transport.get_extra_info("socket")
    timeout_ms = tcp_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert timeout_ms == seconds * 1000, timeout_ms
