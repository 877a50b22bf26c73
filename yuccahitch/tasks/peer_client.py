"""The gRPC client for other instances: sends them messages and forwards requests to them."""

from __future__ import annotations

import asyncio
import functools
import typing

from grpclib import client, exceptions, protocol

from yuccahitch import clock, errors, events, records
from yuccahitch.codecs import peer as codec
from yuccahitch.codecs.generated import peer_grpc
from yuccahitch.messages import actions, answers, commands
from yuccahitch.tasks import answer_stream, mailbox, peer_proof, tcp_connection

STEP = "forward"
CONNECT_TIMEOUT_S = 1.0
# Time after which unacknowledged data closes a connection to a peer. TCP sends again ever more
# rarely during a partition, so an old connection delivers requests long after it has ended.
UNACKNOWLEDGED_TIMEOUT_MS = 2_000
# Peers to which a connection is kept; the least recently used one is closed first.
MAX_CHANNELS = 64
# Errors of a connection to a peer, as opposed to errors in the content of a reply.
TRANSPORT_ERRORS = (OSError, TimeoutError, exceptions.GRPCError, exceptions.StreamTerminatedError)


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
        """Return the channel to an address; closes the least recently used ones over the limit."""
        channel = self.channels.pop(address, None)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = PeerChannel(host.strip("[]"), int(port))
        self.channels[address] = channel
        while len(self.channels) > MAX_CHANNELS:
            self.channels.pop(next(iter(self.channels))).close()
        return channel

    async def perform_call(self, call: commands.PeerCall) -> None:
        """Send a message to a peer and pass its reply, or the failure, to ``on_reply``."""
        sent_at = self.time.now()
        body, call_error = None, None
        try:
            envelope = codec.to_envelope(call.body, stamp=self.log.hybrid_clock.tick())
            reply = await self.stub(call.address).Tell(
                envelope, timeout=self.timeout_s, metadata=self.metadata
            )
            self.log.hybrid_clock.observe(reply.stamp)
            self.messages_total += 1
            self.bytes_total += envelope.ByteSize() + reply.ByteSize()
            body = codec.from_envelope(reply)
        except TRANSPORT_ERRORS as error:
            call_error = _peer_error(call.address, error, errors.Code.PEER_UNREACHABLE)
        except errors.GatewayError as error:
            self.log.write(events.Event.PEER_GARBAGE, peer=call.address, detail=error.detail)
            call_error = error
        self.on_reply(commands.PeerReply(call=call, body=body, error=call_error, sent_at=sent_at))

    async def forward(self, action: actions.Forward, stream: answer_stream.AnswerStream) -> None:
        """Forward a request to an instance and put the parts of its answer into the stream.

        A failure goes into the stream as well; it says whether the request may have run.
        """
        may_have_sent, cause = False, "given up"
        try:
            deadline = max(0.05, action.deadline_in)
            # Connects before sending, so that a failure to connect proves that nothing was sent.
            channel = self.channel(action.address)
            async with asyncio.timeout(min(CONNECT_TIMEOUT_S, deadline)):
                await channel.__connect__()
            may_have_sent = True
            await self._relay(action, stream)
            cause = ""
        except TRANSPORT_ERRORS as error:
            cause = str(error) or type(error).__name__
            await stream.put(_forward_failure(action, error, may_have_sent=may_have_sent))
        except errors.GatewayError as error:
            cause = error.detail
            failure = answers.Failure(
                request_id=action.request.id, attempt=action.attempt, error=error
            )
            await stream.put(failure)
        finally:
            if cause and may_have_sent:
                self._log_closed(action, cause)

    def _log_closed(self, action: actions.Forward, cause: str) -> None:
        """Log that an attempt ends before its answer does."""
        self.log.write(
            events.Event.ATTEMPT_CLOSED,
            request=action.request.id,
            attempt=action.attempt,
            peer=action.instance,
            cause=cause,
        )

    async def _relay(self, action: actions.Forward, stream: answer_stream.AnswerStream) -> None:
        """Send the request over gRPC and put each part of the answer into the stream."""
        message = codec.to_forwarded(action, stamp=self.log.hybrid_clock.tick())
        stub = self.stub(action.address)
        ended = False
        async with stub.Forward.open(metadata=self.metadata) as call:
            await call.send_message(message, end=True)
            async for raw_part in call:
                part = codec.from_part(raw_part)
                ended = type(part) in (answers.End, answers.Failure)
                await stream.put(part)
        if not ended:
            raise exceptions.StreamTerminatedError(
                "the stream closed before the last part of the answer"
            )


@functools.singledispatch
def _handle(message: typing.Any, peers: PeerClient) -> None:
    """Start the call that a message of the inbox asks for."""
    raise TypeError(type(message))


@_handle.register
def _(message: commands.PeerCall, peers: PeerClient) -> None:
    peers.children.start(peers.perform_call(message))


@_handle.register
def _(message: OpenForward, peers: PeerClient) -> None:
    message.stream.start(peers.children, peers.forward(message.action, message.stream))


def _peer_error(peer: str, cause: Exception, code: errors.Code) -> errors.GatewayError:
    """Return the error of a failed call to a peer, given by its address or id."""
    return errors.GatewayError(code, step=STEP, peer=peer, detail=type(cause).__name__)


def _forward_failure(
    action: actions.Forward, cause: Exception, *, may_have_sent: bool
) -> answers.Failure:
    """Return the failure of a forwarded request; one that was not sent has not run."""
    code = errors.Code.PEER_FAILED if may_have_sent else errors.Code.PEER_UNREACHABLE
    error = _peer_error(action.instance, cause, code)
    error.run = errors.RunStatus.MAY_HAVE_RUN if may_have_sent else errors.RunStatus.NOT_RUN
    return answers.Failure(request_id=action.request.id, attempt=action.attempt, error=error)
