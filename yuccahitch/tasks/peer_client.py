"""Sends messages and requests to other instances."""

from __future__ import annotations

import asyncio
import functools
import typing

from grpclib import client, exceptions

from yuccahitch import clock, errors, events, records
from yuccahitch.codecs import peer as codec
from yuccahitch.codecs.generated import peer_grpc
from yuccahitch.messages import actions, answers, commands
from yuccahitch.tasks import answer_stream, mailbox, peer_proof

STEP = "forward"
CONNECT_TIMEOUT_S = 1.0
MAX_CHANNELS = 64
TRANSPORT_ERRORS = (OSError, TimeoutError, exceptions.GRPCError, exceptions.StreamTerminatedError)


class OpenForward(records.Record):
    """Forward a request to an instance; its answer goes into the stream."""

    __slots__ = ("action", "stream")

    def __init__(self, action: actions.Forward, stream: answer_stream.AnswerStream) -> None:
        self.action = action
        self.stream = stream


class PeerClient:
    """Owns the connections to other instances.

    Args:
        instance: Id of this instance.
        secret: Secret of the fleet.
        timeout_s: Time-out of a message, in seconds.
        time: The clock.
        log: Writes events.
        on_reply: Takes the reply to each message of the core.
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
        self.children = mailbox.Children()
        self.channels: dict[str, client.Channel] = {}
        self.messages_total = 0
        self.bytes_total = 0

    async def run(self) -> None:
        """Handle messages until cancelled."""
        try:
            while True:
                _handle(await self.inbox.get(), self)
        finally:
            await self.children.stop()
            for channel in self.channels.values():
                channel.close()

    def stub(self, address: str) -> peer_grpc.PeerStub:
        """Return the stub of a peer."""
        return peer_grpc.PeerStub(self.channel(address))

    def channel(self, address: str) -> client.Channel:
        """Return the channel to a peer; the channels used longest ago are closed."""
        channel = self.channels.pop(address, None)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = client.Channel(host.strip("[]"), int(port))
        self.channels[address] = channel
        while len(self.channels) > MAX_CHANNELS:
            self.channels.pop(next(iter(self.channels))).close()
        return channel

    async def perform_call(self, call: commands.PeerCall) -> None:
        """Send a message and report the reply."""
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
        """Forward a request and bring its answer back."""
        may_have_sent = False
        try:
            deadline = max(0.05, action.deadline_in)
            # Connecting first tells whether a byte of the request can have left.
            channel = self.channel(action.address)
            async with asyncio.timeout(min(CONNECT_TIMEOUT_S, deadline)):
                await channel.__connect__()
            may_have_sent = True
            await self._relay(action, stream)
        except TRANSPORT_ERRORS as error:
            await stream.put(_forward_failure(action, error, may_have_sent=may_have_sent))
        except errors.GatewayError as error:
            failure = answers.Failure(
                request_id=action.request.id, attempt=action.attempt, error=error
            )
            await stream.put(failure)

    async def _relay(self, action: actions.Forward, stream: answer_stream.AnswerStream) -> None:
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
            raise exceptions.StreamTerminatedError("the answer has no end")


@functools.singledispatch
def _handle(message: typing.Any, peers: PeerClient) -> None:
    raise TypeError(type(message))


@_handle.register
def _(message: commands.PeerCall, peers: PeerClient) -> None:
    peers.children.start(peers.perform_call(message))


@_handle.register
def _(message: OpenForward, peers: PeerClient) -> None:
    message.stream.producer = peers.children.start(peers.forward(message.action, message.stream))


def _peer_error(peer: str, cause: Exception, code: errors.Code) -> errors.GatewayError:
    return errors.GatewayError(code, step=STEP, peer=peer, detail=type(cause).__name__)


def _forward_failure(
    action: actions.Forward, cause: Exception, *, may_have_sent: bool
) -> answers.Failure:
    code = errors.Code.PEER_FAILED if may_have_sent else errors.Code.PEER_UNREACHABLE
    error = _peer_error(action.instance, cause, code)
    error.run = errors.RunStatus.MAY_HAVE_RUN if may_have_sent else errors.RunStatus.NOT_RUN
    return answers.Failure(request_id=action.request.id, attempt=action.attempt, error=error)
