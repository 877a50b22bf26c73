"""Steps about the connections between instances."""

from __future__ import annotations

import asyncio
import socket

import behave
from grpclib import server

from tests import attempt_clients
from yuccahitch import clock, events
from yuccahitch.codecs import peer as codec
from yuccahitch.codecs.generated import peer_grpc
from yuccahitch.messages import commands, peers
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


# Time after which the first calls are under way on open connections, in seconds.
CONNECTED_AFTER_S = 0.2


class SlowPeer(peer_grpc.PeerBase):
    """A peer that acknowledges each message after a while."""

    async def Tell(self, stream):
        """Acknowledge a message."""
        await stream.recv_message()
        await asyncio.sleep(0.6)
        await stream.send_message(codec.to_envelope(peers.Ack(), stamp=1))

    async def Forward(self, stream):
        """Not used."""

    async def Renew(self, stream):
        """Not used."""

    async def EndRun(self, stream):
        """Not used."""


@behave.given("{count:d} peers that answer slowly")
def step_start_slow_peers(context, count):
    async def start():
        context.addresses, servers = [], []
        for _ in range(count):
            listener = socket.create_server(("127.0.0.1", 0))
            context.addresses.append(f"127.0.0.1:{listener.getsockname()[1]}")
            peer = server.Server([SlowPeer()])
            await peer.start(sock=listener)
            servers.append(peer)
        return servers

    for peer in context.loop.run_until_complete(start()):
        context.add_cleanup(peer.close)


@behave.when("an instance calls ten of them, and the others meanwhile")
def step_call_all(context):
    context.replies = []
    client = context.client = attempt_clients.a_peer_client()
    client.on_reply = context.replies.append

    async def work():
        calls = [
            commands.PeerCall(instance="", address=address, body=peers.Ack())
            for address in context.addresses
        ]
        tasks = [asyncio.ensure_future(client.perform_call(call)) for call in calls[:10]]
        await asyncio.sleep(CONNECTED_AFTER_S)
        tasks += [asyncio.ensure_future(client.perform_call(call)) for call in calls[10:]]
        await asyncio.gather(*tasks)
        await client.perform_call(calls[0])

    context.loop.run_until_complete(work())


@behave.then("each call gets its reply")
def step_check_replies(context):
    failed = [reply.error for reply in context.replies if reply.error is not None]
    assert len(context.replies) == len(context.addresses) + 1 and not failed, failed[:3]


@behave.then("at most {count:d} connections are kept after another call")
def step_check_kept(context, count):
    channels = context.client.channels
    assert len(channels) <= count, len(channels)
    for channel in channels.values():
        channel.close()
