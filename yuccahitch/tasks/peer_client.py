"""The gRPC client for other instances: sends them messages and forwards requests to them."""

from __future__ import annotations

import collections
import contextlib
import functools
import typing

from grpclib import client, protocol
from grpclib import config as grpc_config

from yuccahitch import clock, errors, events, records
from yuccahitch.codecs import peer as codec
from yuccahitch.codecs import run_leases as lease_codec
from yuccahitch.codecs.generated import peer_grpc
from yuccahitch.messages import actions, commands
from yuccahitch.tasks import (
    answer_stream,
    forward_attempt,
    lease_keeper,
    mailbox,
    peer_proof,
    tcp_connection,
)

# Time after which unacknowledged data closes a connection to a peer. TCP sends again ever more
# rarely during a partition, so an old connection delivers requests long after it has ended.
UNACKNOWLEDGED_TIMEOUT_MS = 2_000
# Bytes that a peer may send of one answer, and on one connection, before they are read. The second
# is so large that answers that nobody reads hold up neither others nor the renewals of leases.
STREAM_WINDOW_BYTES = 131_072
CONNECTION_WINDOW_BYTES = 2**31 - 1
# Peers to which a connection is kept; the least recently used idle one is closed first.
MAX_CHANNELS = 64


class PeerChannel(client.Channel):
    """A gRPC channel whose connection closes when sent data stays unacknowledged."""

    __slots__ = ()

    async def __connect__(self) -> protocol.H2Protocol:
        """Return the connection, opened if necessary."""
        connected = await super().__connect__()
        # grpclib offers no other way to the transport of a channel.
        transport = connected.connection._transport
        tcp_connection.limit_unacknowledged(transport, UNACKNOWLEDGED_TIMEOUT_MS)
        return connected


class OpenForward(records.Record):
    """Forward a request to an instance and put its answer into a stream.

    Attributes:
        action: The request and the instance that it goes to.
        stream: Receives the parts of the answer, or a failure.
    """

    __slots__ = ("action", "stream")

    def __init__(self, action: actions.Forward, stream: answer_stream.AnswerStream) -> None:
        self.action = action
        self.stream = stream


class PeerClient:
    """Owns the connections to other instances.

    Args:
        instance: Id of this instance.
        secret: Secret that the instances of the fleet share.
        timeout_s: Timeout of a message and its reply, in seconds.
        time: Source of monotonic time.
        log: Event log; its hybrid clock stamps the messages.
        on_reply: Called with the reply to each message that the core sends, or with its failure.

    Attributes:
        metadata: gRPC metadata that authenticates this instance in each call.
        inbox: Messages for this task, ``commands.PeerCall`` and ``OpenForward``.
        children: Tasks of the running calls.
        channels: gRPC channels by peer address, the least recently used one first.
        calls: Number of open calls by peer address.
        keepers: What renews the leases of forwarded requests, by instance.
        messages_total: Messages that were answered.
        bytes_total: Size of these messages and their replies, in bytes.
    """

    __slots__ = (
        "instance",
        "metadata",
        "timeout_s",
        "time",
        "log",
        "on_reply",
        "inbox",
        "children",
        "channels",
        "calls",
        "keepers",
        "messages_total",
        "bytes_total",
    )

    def __init__(
        self,
        instance: str,
        *,
        secret: str,
        timeout_s: float,
        time: clock.Clock,
        log: events.Log,
        on_reply: typing.Callable[[commands.PeerReply], None],
    ) -> None:
        self.instance = instance
        self.metadata = {
            peer_proof.SENDER_HEADER: instance,
            peer_proof.PROOF_HEADER: peer_proof.compute_proof(secret, instance),
        }
        self.timeout_s = timeout_s
        self.time = time
        self.log = log
        self.on_reply = on_reply
        self.inbox = mailbox.Mailbox()
        self.children = mailbox.ChildTasks()
        self.channels: dict[str, client.Channel] = {}
        self.calls: collections.Counter[str] = collections.Counter()
        self.keepers: dict[str, lease_keeper.LeaseKeeper] = {}
        self.messages_total = 0
        self.bytes_total = 0

    async def run(self) -> None:
        """Start a call for each message of the inbox; close all connections when cancelled."""
        try:
            while True:
                _handle(await self.inbox.get(), self)
        finally:
            await self.children.stop()
            for channel in self.channels.values():
                channel.close()

    def stub(self, address: str) -> peer_grpc.PeerStub:
        """Return a gRPC stub for the peer at an address, ``IP:PORT``."""
        return peer_grpc.PeerStub(self.channel(address))

    def channel(self, address: str) -> client.Channel:
        """Return the channel to an address; closes the least recently used ones over the limit.

        One with an open call is not closed.
        """
        channel = self.channels.pop(address, None)
        if channel is None:
            channel = _open_channel(address)
        self.channels[address] = channel
        idle = [other for other in self.channels if other != address and not self.calls[other]]
        for other in idle[: max(0, len(self.channels) - MAX_CHANNELS)]:
            self.channels.pop(other).close()
        return channel

    @contextlib.contextmanager
    def calling(self, address: str) -> typing.Iterator[None]:
        """Count a call to an address as open while the body of the context runs."""
        self.calls[address] += 1
        try:
            yield
        finally:
            self.calls[address] -= 1
            if not self.calls[address]:
                del self.calls[address]

    async def perform_call(self, call: commands.PeerCall) -> None:
        """Send a message to a peer and pass its reply, or the failure, to ``on_reply``."""
        sent_at = self.time.now()
        body, call_error = None, None
        try:
            envelope = codec.to_envelope(call.body, stamp=self.log.hybrid_clock.tick())
            with self.calling(call.address):
                reply = await self.stub(call.address).Tell(
                    envelope, timeout=self.timeout_s, metadata=self.metadata
                )
            self.log.hybrid_clock.observe(reply.stamp)
            self.messages_total += 1
            self.bytes_total += envelope.ByteSize() + reply.ByteSize()
            body = codec.from_envelope(reply)
        except forward_attempt.TRANSPORT_ERRORS as error:
            call_error = _peer_error(call.address, error, errors.Code.PEER_UNREACHABLE)
        except errors.GatewayError as error:
            self.log.write(events.Event.PEER_GARBAGE, peer=call.address, detail=error.detail)
            call_error = error
        self.on_reply(commands.PeerReply(call=call, body=body, error=call_error, sent_at=sent_at))

    async def connect(self, address: str) -> None:
        """Open the connection to an address if there is none."""
        await self.channel(address).__connect__()

    def keeper(self, action: actions.Forward) -> lease_keeper.LeaseKeeper:
        """Return what renews the lease at the instance of an attempt."""
        keeper = self.keepers.get(action.instance)
        if keeper is None:
            self._forget_idle_keepers()
            keeper = self.keepers[action.instance] = lease_keeper.LeaseKeeper(
                action.instance,
                renew=functools.partial(self._renew, action.address),
                time=self.time,
                log=self.log,
            )
        return keeper

    async def end_run(self, action: actions.Forward) -> None:
        """End the run of an attempt over a new connection, as the former one may be broken."""
        channel = _open_channel(action.address)
        try:
            await peer_grpc.PeerStub(channel).EndRun(
                lease_codec.to_run_end(action), metadata=self.metadata
            )
        finally:
            channel.close()

    async def _renew(self, address: str, grant: float) -> float:
        """Renew the lease at the peer at an address, and return the new grant."""
        reply = await self.stub(address).Renew(
            lease_codec.to_renewal(grant),
            timeout=lease_keeper.RENEWAL_TIMEOUT_S,
            metadata=self.metadata,
        )
        return reply.grant

    def _forget_idle_keepers(self) -> None:
        """Forget the leases at instances that run nothing of this one."""
        for instance in [name for name, keeper in self.keepers.items() if not keeper.silences]:
            del self.keepers[instance]


def _open_channel(address: str) -> PeerChannel:
    """Return a channel to an address, ``IP:PORT``; it connects with its first call."""
    host, _, port = address.rpartition(":")
    windows = grpc_config.Configuration(
        http2_connection_window_size=CONNECTION_WINDOW_BYTES,
        http2_stream_window_size=STREAM_WINDOW_BYTES,
    )
    return PeerChannel(host.strip("[]"), int(port), config=windows)


@functools.singledispatch
def _handle(message: typing.Any, peers: PeerClient) -> None:
    """Start the call that a message of the inbox asks for."""
    raise TypeError(type(message))


@_handle.register
def _(message: commands.PeerCall, peers: PeerClient) -> None:
    peers.children.start(peers.perform_call(message))


@_handle.register
def _(message: OpenForward, peers: PeerClient) -> None:
    attempt = forward_attempt.ForwardAttempt(peers, message.action, message.stream)
    message.stream.start(peers.children, attempt.run())


def _peer_error(peer: str, cause: Exception, code: errors.Code) -> errors.GatewayError:
    """Return the error of a failed call to a peer, given by its address or id."""
    return errors.GatewayError(
        code, step=forward_attempt.STEP, peer=peer, detail=type(cause).__name__
    )
