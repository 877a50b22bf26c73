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
CONNECT_S = 1.0
IDLE_CHANNELS = 64
FAULTS = (OSError, TimeoutError, exceptions.GRPCError, exceptions.StreamTerminatedError)


class OpenForward(records.Record):
    """Forward a request to an instance; its answer goes into the stream."""

    __slots__ = ("work", "stream")

    def __init__(self, work: actions.Forward, stream: answer_stream.AnswerStream) -> None:
        self.work = work
        self.stream = stream


class PeerClient:
    """Owns the connections to other instances.

    Args:
        instance: Id of this instance.
        secret: Secret of the fleet.
        timeout_s: Time-out of a message, in seconds.
        time: The clock.
        log: Writes events.
        reply_to: Takes the reply to each message of the core.
    """

    __slots__ = (
        "instance",
        "metadata",
        "timeout_s",
        "time",
        "log",
        "reply_to",
        "inbox",
        "children",
        "channels",
        "messages",
        "bytes",
    )

    def __init__(
        self,
        instance: str,
        *,
        secret: str,
        timeout_s: float,
        time: clock.Clock,
        log: events.Log,
        reply_to: typing.Callable[[commands.PeerReply], None],
    ) -> None:
        self.instance = instance
        self.metadata = {
            peer_proof.SENDER_HEADER: instance,
            peer_proof.HEADER: peer_proof.proof(secret, instance),
        }
        self.timeout_s = timeout_s
        self.time = time
        self.log = log
        self.reply_to = reply_to
        self.inbox = mailbox.Mailbox()
        self.children = mailbox.ChildTasks()
        self.channels: dict[str, client.Channel] = {}
        self.messages = 0
        self.bytes = 0

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
        while len(self.channels) > IDLE_CHANNELS:
            self.channels.pop(next(iter(self.channels))).close()
        return channel

    async def tell(self, call: commands.PeerCall) -> None:
        """Send a message and report the reply."""
        sent_at = self.time.now()
        body, problem = None, None
        try:
            envelope = codec.to_envelope(call.body, stamp=self.log.hybrid_clock.tick())
            reply = await self.stub(call.address).Tell(
                envelope, timeout=self.timeout_s, metadata=self.metadata
            )
            self.log.hybrid_clock.observe(reply.stamp)
            self.messages += 1
            self.bytes += envelope.ByteSize() + reply.ByteSize()
            body = codec.from_envelope(reply)
        except FAULTS as error:
            problem = _error(call.address, error, errors.Code.PEER_UNREACHABLE)
        except errors.GatewayError as error:
            self.log.write(events.Event.PEER_GARBAGE, peer=call.address, detail=error.detail)
            problem = error
        self.reply_to(commands.PeerReply(call=call, body=body, error=problem, sent_at=sent_at))

    async def forward(self, work: actions.Forward, stream: answer_stream.AnswerStream) -> None:
        """Forward a request and bring its answer back."""
        sent = False
        try:
            deadline = max(0.05, work.deadline_in)
            # Connecting first tells whether a byte of the request can have left.
            channel = self.channel(work.address)
            async with asyncio.timeout(min(CONNECT_S, deadline)):
                await channel.__connect__()
            sent = True
            await self._relay(work, stream)
        except FAULTS as error:
            await stream.put(_forward_failure(work, error, sent=sent))
        except errors.GatewayError as error:
            failure = answers.Failure(request_id=work.request.id, attempt=work.attempt, error=error)
            await stream.put(failure)

    async def _relay(self, work: actions.Forward, stream: answer_stream.AnswerStream) -> None:
        message = codec.to_forwarded(work, stamp=self.log.hybrid_clock.tick())
        stub = self.stub(work.address)
        ended = False
        async with stub.Forward.open(metadata=self.metadata) as call:
            await call.send_message(message, end=True)
            async for raw in call:
                part = codec.from_part(raw)
                ended = type(part) in (answers.End, answers.Failure)
                await stream.put(part)
        if not ended:
            raise exceptions.StreamTerminatedError("the answer has no end")


@functools.singledispatch
def _handle(message: typing.Any, peers: PeerClient) -> None:
    raise TypeError(type(message))


@_handle.register
def _(message: commands.PeerCall, peers: PeerClient) -> None:
    peers.children.start(peers.tell(message))


@_handle.register
def _(message: OpenForward, peers: PeerClient) -> None:
    message.stream.producer = peers.children.start(peers.forward(message.work, message.stream))


def _error(peer: str, cause: Exception, code: errors.Code) -> errors.GatewayError:
    return errors.GatewayError(code, step=STEP, peer=peer, detail=type(cause).__name__)


def _forward_failure(work: actions.Forward, cause: Exception, *, sent: bool) -> answers.Failure:
    code = errors.Code.PEER_FAILED if sent else errors.Code.PEER_UNREACHABLE
    error = _error(work.instance, cause, code)
    error.run = errors.RunStatus.MAY_HAVE_RUN if sent else errors.RunStatus.NOT_RUN
    return answers.Failure(request_id=work.request.id, attempt=work.attempt, error=error)
