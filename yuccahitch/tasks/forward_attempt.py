"""One attempt to have a request run by another instance."""

from __future__ import annotations

import asyncio
import math
import typing

from grpclib import exceptions

from yuccahitch import clock, errors, events
from yuccahitch.codecs import peer as codec
from yuccahitch.controllers.runs import run_leases
from yuccahitch.messages import actions, answers
from yuccahitch.tasks import answer_stream, lease_keeper

STEP = "forward"
CONNECT_TIMEOUT_S = 1.0
MIN_DEADLINE_S = 0.05
# Time between two tries to end a run, in seconds.
END_RETRY_PERIOD_S = 0.2
# Errors of a connection to a peer, as opposed to errors in the content of a reply.
TRANSPORT_ERRORS = (OSError, TimeoutError, exceptions.GRPCError, exceptions.StreamTerminatedError)


class RunEndedError(Exception):
    """The peer ended the stream of an answer before its last part; its run is over."""


class Peers(typing.Protocol):
    """What an attempt needs of the client for other instances."""

    metadata: dict[str, str]
    time: clock.Clock
    log: events.Log

    def calling(self, address: str) -> typing.ContextManager[None]:
        """Keep the connection to an address while the body of the context runs."""

    async def connect(self, address: str) -> None:
        """Open the connection to an address if there is none."""

    def stub(self, address: str) -> typing.Any:
        """Return a gRPC stub for the peer at an address."""

    def keeper(self, action: actions.Forward) -> lease_keeper.LeaseKeeper:
        """Return what renews the lease at the instance of an attempt."""

    async def end_run(self, action: actions.Forward) -> None:
        """End the run of an attempt over a new connection."""


class ForwardAttempt:
    """Forwards a request and puts the parts of the answer, or a failure, into a stream.

    Args:
        peers: Client for other instances.
        action: The request and the instance that it goes to.
        stream: Receives the parts of the answer, or a failure.

    Attributes:
        connected: Whether the connection was open, so that the request may have been sent.
        sent_at: When the request had been sent, in monotonic seconds; infinite before.
        run_ended: Whether it is known that the instance runs nothing of the request any more.
        lease: What is known of the lease that the request runs under.
    """

    __slots__ = ("peers", "action", "stream", "connected", "sent_at", "run_ended", "lease")

    def __init__(
        self, peers: Peers, action: actions.Forward, stream: answer_stream.AnswerStream
    ) -> None:
        self.peers = peers
        self.action = action
        self.stream = stream
        self.connected = False
        self.sent_at = math.inf
        self.run_ended = False
        self.lease = run_leases.LeaseView()

    async def run(self) -> None:
        """Make the attempt; a failure goes into the stream once the run has surely ended."""
        cause = "given up"
        try:
            with self.peers.calling(self.action.address):
                await self._connect()
                await self._relay_under_lease()
            cause = ""
        except errors.GatewayError as error:
            cause = error.detail
            await self._fail(error)
        except (*TRANSPORT_ERRORS, RunEndedError) as error:
            cause = str(error) or type(error).__name__
            self.run_ended = type(error) in (RunEndedError, exceptions.GRPCError)
            await self._fail(self._transport_error(error))
        finally:
            if cause and self.connected:
                self._log_closed(cause)

    async def _connect(self) -> None:
        """Connect before sending, so that a failure to connect proves that nothing was sent."""
        deadline_s = max(MIN_DEADLINE_S, self.action.deadline_in)
        async with asyncio.timeout(min(CONNECT_TIMEOUT_S, deadline_s)):
            await self.peers.connect(self.action.address)
        self.connected = True

    async def _relay_under_lease(self) -> None:
        """Relay the answer, and renew the lease meanwhile if the request may be repeated."""
        if not self.action.hop.leased:
            await self._relay()
            return
        keeper = self.peers.keeper(self.action)
        self.lease = keeper.view
        async with keeper.hold():
            await self._relay()

    async def _relay(self) -> None:
        """Send the request over gRPC and put each part of the answer into the stream."""
        message = codec.to_forwarded(self.action, stamp=self.peers.log.hybrid_clock.tick())
        stub = self.peers.stub(self.action.address)
        ended = False
        async with stub.Forward.open(metadata=self.peers.metadata) as call:
            await call.send_message(message, end=True)
            self.sent_at = self.peers.time.now()
            async for raw_part in call:
                part = codec.from_part(raw_part)
                ended = type(part) in (answers.End, answers.Failure)
                await self.stream.put(part)
        if not ended:
            raise RunEndedError("the stream closed before the last part of the answer")

    async def _fail(self, error: errors.GatewayError) -> None:
        """Put the failure into the stream, once a run that may be repeated has ended."""
        if self.connected and self.action.hop.leased and not self.run_ended:
            await self._await_end()
        failure = answers.Failure(
            request_id=self.action.request.id, attempt=self.action.attempt, error=error
        )
        await self.stream.put(failure)

    async def _await_end(self) -> None:
        """Return once the peer says that the run has ended, or its lease has surely lapsed."""
        now = self.peers.time.now()
        left_s = max(0.0, self.lease.surely_ended_at(self.sent_at, now) - now)
        self._log_waiting(at_most_s=round(left_s, 3))
        try:
            async with asyncio.timeout(left_s):
                await self._end_run()
        except TimeoutError:
            self.run_ended = True

    async def _end_run(self) -> None:
        """Ask the peer to end the run until it does; where nothing listens, nothing runs."""
        while not self.run_ended:
            try:
                await self.peers.end_run(self.action)
                self.run_ended = True
            except ConnectionRefusedError:
                self.run_ended = True
            except (OSError, exceptions.GRPCError, exceptions.StreamTerminatedError) as error:
                self._log_waiting(detail=type(error).__name__)
                await asyncio.sleep(END_RETRY_PERIOD_S)

    def _transport_error(self, cause: Exception) -> errors.GatewayError:
        """Return the error of a failed attempt; a request that was not sent has not run."""
        code = errors.Code.PEER_FAILED if self.connected else errors.Code.PEER_UNREACHABLE
        run = errors.RunStatus.MAY_HAVE_RUN if self.connected else errors.RunStatus.NOT_RUN
        return errors.GatewayError(
            code, step=STEP, peer=self.action.instance, detail=type(cause).__name__, run=run
        )

    def _log_closed(self, cause: str) -> None:
        """Log that an attempt ends before its answer does."""
        self.peers.log.write(
            events.Event.ATTEMPT_CLOSED,
            request=self.action.request.id,
            attempt=self.action.attempt,
            peer=self.action.instance,
            cause=cause,
        )

    def _log_waiting(self, **fields: typing.Any) -> None:
        """Log that the attempt waits for the end of its run."""
        self.peers.log.write(
            events.Event.RUN_END_AWAITED,
            request=self.action.request.id,
            attempt=self.action.attempt,
            peer=self.action.instance,
            **fields,
        )
