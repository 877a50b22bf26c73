"""The gRPC server for other instances: receives their messages and forwarded requests."""

from __future__ import annotations

import asyncio
import typing

import grpclib
from grpclib import const, exceptions, server

from yuccahitch import clock, errors, events
from yuccahitch.codecs import peer as codec
from yuccahitch.codecs import run_leases as lease_codec
from yuccahitch.codecs.generated import peer_grpc
from yuccahitch.messages import answers, peers, requests
from yuccahitch.tasks import (
    answer_memory,
    core_messages,
    intake,
    leased_runs,
    mailbox,
    open_requests,
    peer_proof,
    runner,
)

# Copies of a forwarded body while its request runs: the message, the body, and what is being sent.
FORWARDED_COPIES = 3
# Bytes of a plain answer that a message holds. Each message that waits is held in several forms.
MESSAGE_BYTES = 16_384
EVENT_STREAM_TYPE = "text/event-stream"


class PartSink:
    """Sends the parts of an answer to the peer that forwarded the request.

    Args:
        stream: gRPC stream of the forwarded request.
        request_id: Id of the request.
        attempt: Number of the attempt at the peer, set on each part.
        memory: Counts what the answer takes.
        stamp_clock: Hybrid clock that stamps each part.

    Attributes:
        has_events: Whether the answer is a stream of events.
    """

    __slots__ = ("stream", "request_id", "attempt", "memory", "stamp_clock", "has_events")

    def __init__(
        self,
        stream: server.Stream[typing.Any, typing.Any],
        *,
        request_id: str,
        attempt: int,
        memory: answer_memory.AnswerMemory,
        stamp_clock: events.HybridClock,
    ) -> None:
        self.stream = stream
        self.request_id = request_id
        self.attempt = attempt
        self.memory = memory
        self.stamp_clock = stamp_clock
        self.has_events = False

    async def send(self, part: answers.Part) -> None:
        """Send one part, numbered with the peer's attempt.

        Raises:
            ConnectionError: When the peer closed the stream.
        """
        part.attempt = self.attempt
        try:
            with self.memory.lag():
                await self.stream.send_message(codec.to_part(part, stamp=self.stamp_clock.tick()))
        except exceptions.StreamTerminatedError as error:
            raise ConnectionError("the peer closed the stream of the forwarded request") from error

    async def start(self, head: answers.Head) -> None:
        """Send status and headers."""
        self.has_events = head.media_type() == EVENT_STREAM_TYPE
        await self.send(head)

    async def write(self, chunk: answers.Chunk) -> None:
        """Send body bytes, those of a plain answer in small messages."""
        for data in self._messages(chunk.data):
            await self.send(
                answers.Chunk(
                    request_id=self.request_id,
                    attempt=self.attempt,
                    data=data,
                    event_id=chunk.event_id,
                )
            )
            self.memory.give_back(len(data))

    async def flush(self) -> None:
        """Do nothing: each part is sent as it comes."""

    async def end(self, part: answers.End) -> None:
        """Send the end of a complete answer."""
        await self.send(part)

    def _messages(self, data: bytes) -> list[bytes]:
        """Return the bytes of a chunk by message; events stay whole."""
        if self.has_events or len(data) <= MESSAGE_BYTES:
            return [data]
        return [data[at : at + MESSAGE_BYTES] for at in range(0, len(data), MESSAGE_BYTES)]

    async def cut(self, part: answers.Failure) -> None:
        """Send the failure that ends an incomplete answer."""
        await self.send(part)

    async def refuse(self, error: errors.GatewayError, operation: str) -> None:
        """Send the error of a request that is not served."""
        await self.send(
            answers.Failure(request_id=self.request_id, attempt=self.attempt, error=error)
        )

    async def replay(self, answer: answers.RecordedAnswer) -> None:
        """Send the recorded answer of an earlier request with the same idempotency key."""
        request_id, attempt = self.request_id, self.attempt
        head = answers.Head(
            request_id=request_id,
            attempt=attempt,
            status=answer.status,
            headers=(*answer.headers, ("x-replayed", "true")),
            source="",
        )
        await self.send(head)
        await self.send(answers.Chunk(request_id=request_id, attempt=attempt, data=answer.body))
        await self.send(answers.End(request_id=request_id, attempt=attempt, usage=answers.Usage()))


class PeerServer(peer_grpc.PeerBase):
    """Owns the listening socket for peers.

    Args:
        secret: Secret that the instances of the fleet share.
        core_inbox: Mailbox of the core task.
        mailboxes: Mailboxes that request tasks send their messages to.
        caller_intake: Grants memory to the requests that peers forward.
        time: Source of monotonic time.
        log: Event log; its hybrid clock stamps the messages.

    Attributes:
        open_requests: The requests that run on without the peer that forwarded them.
        leased_runs: The runs of requests that the peers may repeat elsewhere.
        server: The gRPC server, or None before ``start``.
    """

    __slots__ = (
        "secret",
        "core_inbox",
        "mailboxes",
        "caller_intake",
        "time",
        "log",
        "open_requests",
        "leased_runs",
        "server",
    )

    def __init__(
        self,
        *,
        secret: str,
        core_inbox: mailbox.Mailbox,
        mailboxes: runner.Mailboxes,
        caller_intake: intake.Intake,
        time: clock.Clock,
        log: events.Log,
    ) -> None:
        self.secret = secret
        self.core_inbox = core_inbox
        self.mailboxes = mailboxes
        self.caller_intake = caller_intake
        self.time = time
        self.log = log
        self.open_requests = open_requests.OpenRequests()
        self.leased_runs = leased_runs.LeasedRuns(time=time, log=log)
        self.server: server.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening for peers."""
        self.server = server.Server([self])
        await self.server.start(host, port)

    async def stop(self) -> None:
        """Stop listening, end the open requests and calls, and wait until they have ended."""
        await self.open_requests.answer_all()
        if self.server is not None:
            self.server.close()
            await self.server.wait_closed()
        await self.open_requests.stop()

    async def Tell(self, stream: server.Stream[typing.Any, typing.Any]) -> None:
        """Pass one message of a peer to the core and send back its reply."""
        sender = self._authenticate_sender(stream)
        envelope = await stream.recv_message()
        try:
            body = codec.from_envelope(envelope)
        except errors.GatewayError as error:
            raise self._invalid_message_error(sender, error) from error
        self.log.hybrid_clock.observe(envelope.stamp)
        reply: peers.Body = await self.core_inbox.ask(core_messages.PeerMessage(body, sender))
        await stream.send_message(codec.to_envelope(reply, stamp=self.log.hybrid_clock.tick()))

    async def Forward(self, stream: server.Stream[typing.Any, typing.Any]) -> None:
        """Run a request forwarded by a peer and send the answer; it is never forwarded again."""
        sender = self._authenticate_sender(stream)
        message = await stream.recv_message()
        try:
            request, hop, attempt = codec.from_forwarded(message, now=self.time.now())
        except errors.GatewayError as error:
            raise self._invalid_message_error(sender, error) from error
        self.log.hybrid_clock.observe(message.stamp)
        task = asyncio.current_task()
        with self.caller_intake.holding(sender, task.cancel, is_forwarded=True) as held:
            held.is_incoming = False
            held.request_id = request.id
            memory = answer_memory.AnswerMemory(self.caller_intake, held)
            sink = PartSink(
                stream,
                request_id=request.id,
                attempt=attempt,
                memory=memory,
                stamp_clock=self.log.hybrid_clock,
            )
            try:
                self.caller_intake.take_at_once(held, len(request.body) * FORWARDED_COPIES)
                self.caller_intake.begin_run(held)
            except errors.GatewayError as error:
                await sink.refuse(error, "")
                return
            request_runner = runner.Runner(
                self.mailboxes, request, sink, memory=memory, now=self.time.now
            )
            try:
                await self._run_forwarded(request_runner, hop, sender=sender, attempt=attempt)
            except asyncio.CancelledError:
                if not memory.was_given_up:
                    raise
                task.uncancel()
                raise grpclib.GRPCError(
                    const.Status.RESOURCE_EXHAUSTED, errors.Code.CALLER_SLOW.meaning
                ) from None

    async def _run_forwarded(
        self, request_runner: runner.Runner, hop: requests.Hop, *, sender: str, attempt: int
    ) -> None:
        """Run a forwarded request in the way that its metadata ask for."""
        if hop.leased:
            await self.leased_runs.run(request_runner, hop, sender=sender, attempt=attempt)
        elif hop.owned:
            await self._run_owned(request_runner, hop)
        else:
            await request_runner.run(hop)

    async def _run_owned(self, request_runner: runner.Runner, hop: requests.Hop) -> None:
        """Run a request whose idempotency key this instance minted.

        It runs on without the peer, so that its answer is recorded for a repeat.
        """
        task = self.open_requests.start(request_runner, hop)
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            request_runner.caller_connected = False
            raise

    async def Renew(self, stream: server.Stream[typing.Any, typing.Any]) -> None:
        """Renew the lease under which requests of a peer run."""
        sender = self._authenticate_sender(stream)
        message = await stream.recv_message()
        grant = self.leased_runs.renew(sender, message.grant)
        await stream.send_message(lease_codec.to_grant(grant))

    async def EndRun(self, stream: server.Stream[typing.Any, typing.Any]) -> None:
        """End the run of a peer's request, and reply once it has ended."""
        sender = self._authenticate_sender(stream)
        message = await stream.recv_message()
        await self.leased_runs.end(sender, message.request_id, message.attempt)
        await stream.send_message(lease_codec.to_run_ended())

    def _authenticate_sender(self, stream: server.Stream[typing.Any, typing.Any]) -> str:
        """Return the sender's id from the metadata; refuse the call if its proof is invalid."""
        metadata = stream.metadata or {}
        sender = str(metadata.get(peer_proof.SENDER_HEADER, ""))
        presented_proof = str(metadata.get(peer_proof.PROOF_HEADER, ""))
        if not peer_proof.is_valid(self.secret, sender, presented_proof):
            self.log.write(
                events.Event.PEER_GARBAGE,
                peer=sender[:64],
                detail="the proof of fleet membership is invalid",
            )
            raise grpclib.GRPCError(
                const.Status.UNAUTHENTICATED, "the proof of fleet membership is invalid"
            )
        return sender

    def _invalid_message_error(self, sender: str, error: errors.GatewayError) -> grpclib.GRPCError:
        """Log a message that cannot be decoded and return the gRPC error for its sender."""
        self.log.write(events.Event.PEER_GARBAGE, peer=sender, detail=error.detail)
        return grpclib.GRPCError(const.Status.INVALID_ARGUMENT, error.detail)
