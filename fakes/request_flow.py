"""Requests in the simulated fleet: their callers, attempts at upstreams, and forwards."""

from __future__ import annotations

import functools
import typing

from fakes import instances, virtual_time
from yuccahitch import errors
from yuccahitch.codecs import peer as codec
from yuccahitch.codecs.generated import peer_pb2
from yuccahitch.messages import actions, answers, request_lifecycle, requests

# Time until the sender of a forwarded request notices that its peer is unreachable, in seconds.
CONNECTION_LOST_DELAY_S = 2.0


class FleetInterface(typing.Protocol):
    """The part of ``fleet.Fleet`` that this module uses; see there."""

    clock: virtual_time.VirtualClock
    results: dict[str, RequestResult]
    forwards: list[tuple[str, str, str]]
    callers: dict[tuple[str, str], typing.Any]
    serve: typing.Callable[..., None]
    on_admission: typing.Callable[[instances.Instance, str], None]

    @property
    def now(self) -> float:
        """Return virtual time in seconds."""

    def run_on(self, instance: instances.Instance, handler: typing.Callable[[float], None]) -> None:
        """Run a handler on an instance with its local time, now or after its pause."""

    def execute_action(
        self,
        instance: instances.Instance,
        next_action: request_lifecycle.NextAction,
        caller: typing.Any,
    ) -> None:
        """Carry out the next action that an instance decided on for a request."""

    def resume(
        self,
        instance: instances.Instance,
        request_id: str,
        answer_part: typing.Any,
        caller: typing.Any,
    ) -> None:
        """Resume a request on an instance with the head of its answer or with a failure."""

    def finish(self, instance: instances.Instance, request_id: str, **details: typing.Any) -> None:
        """Finish a request on an instance."""

    def reachable(self, source: instances.Instance, target: instances.Instance) -> bool:
        """Return whether a message sent now reaches its target, drawing its loss at random."""

    def peer_delay(self, source: instances.Instance, target: instances.Instance) -> float:
        """Return the one-way delay of a message between two instances, in seconds."""

    def instance_by_address(self, address: str) -> instances.Instance | None:
        """Return the instance that listens on a peer address, or None."""


class RequestResult:
    """The result of a request, recorded while virtual time advances.

    Attributes:
        request: The request.
        requested_at: Virtual time at which the caller sent the request, in seconds.
        instance: Id of the instance that received the request from the caller.
        admitted_at: Virtual time of the first dispatch or forward, in seconds, or None.
        upstreams: Upstreams that the request was dispatched to, one per attempt.
        error: Error that the caller received, or None.
        operation: State of the idempotency key that a refusal reports, or empty.
        finished_at: Virtual time at which the answer or the error was complete, in seconds, or
            None.
        replayed: Whether the answer was the one recorded for the idempotency key.
        first_byte_at: Virtual time at which the answer began, in seconds, or None.
        usage: Tokens used.
    """

    __slots__ = (
        "request",
        "instance",
        "admitted_at",
        "upstreams",
        "error",
        "operation",
        "finished_at",
        "replayed",
        "first_byte_at",
        "usage",
        "requested_at",
    )

    def __init__(self, request: requests.Request, instance: str, requested_at: float) -> None:
        self.request = request
        self.requested_at = requested_at
        self.instance = instance
        self.admitted_at: float | None = None
        self.upstreams: list[str] = []
        self.error: errors.GatewayError | None = None
        self.operation = ""
        self.finished_at: float | None = None
        self.replayed = False
        self.first_byte_at: float | None = None
        self.usage = answers.Usage()


class DirectCaller:
    """The caller of a request; records the progress of the request in its result."""

    __slots__ = ("fleet", "instance", "result")

    def __init__(
        self, fleet: FleetInterface, instance: instances.Instance, result: RequestResult
    ) -> None:
        self.fleet = fleet
        self.instance = instance
        self.result = result

    def on_admitted(self) -> None:
        """Record that the request was dispatched or forwarded."""
        self.fleet.on_admission(self.instance, self.result.request.id)
        if self.result.admitted_at is None:
            self.result.admitted_at = self.fleet.now

    def on_first_byte(self) -> None:
        """Record that the answer began."""
        self.result.first_byte_at = self.fleet.now

    def on_ended(
        self,
        *,
        usage: answers.Usage,
        error: errors.GatewayError | None,
        operation: str = "",
        replayed: bool = False,
    ) -> None:
        """Record that the request ended, with its answer or an error."""
        self.result.finished_at = self.fleet.now
        self.result.usage = usage
        self.result.error = error
        self.result.operation = operation
        self.result.replayed = replayed


class PeerCaller:
    """The sender of a forwarded request, seen from the instance that received it.

    Sends the answer back to the source, whose own caller receives it next.

    Args:
        fleet: The fleet.
        source: Instance that forwarded the request.
        target: Instance that received the forwarded request.
        request_id: Id of the request.
        attempt: Number of the source's attempt.
        origin_caller: Caller of the request at the source.

    Attributes:
        is_finished: Whether the source has been sent an end or a failure.
    """

    __slots__ = (
        "fleet",
        "source",
        "target",
        "request_id",
        "attempt",
        "origin_caller",
        "is_finished",
    )

    def __init__(
        self,
        fleet: FleetInterface,
        *,
        source: instances.Instance,
        target: instances.Instance,
        request_id: str,
        attempt: int,
        origin_caller: typing.Any,
    ) -> None:
        self.fleet = fleet
        self.source = source
        self.target = target
        self.request_id = request_id
        self.attempt = attempt
        self.origin_caller = origin_caller
        self.is_finished = False

    def on_admitted(self) -> None:
        """Do nothing: the source recorded the admission when it forwarded the request."""

    def on_first_byte(self) -> None:
        """Send the head of the answer to the source."""
        head = answers.Head(
            request_id=self.request_id, attempt=self.attempt, status=200, headers=(), source=""
        )
        self._send_to_source(
            lambda: self.fleet.resume(self.source, self.request_id, head, self.origin_caller)
        )

    def on_ended(
        self,
        *,
        usage: answers.Usage,
        error: errors.GatewayError | None,
        operation: str = "",
        replayed: bool = False,
    ) -> None:
        """Send the end of the answer or a failure to the source."""
        self.is_finished = True
        if error is not None:
            answer_part = answers.Failure(
                request_id=self.request_id, attempt=self.attempt, error=error
            )
            answer_part = codec.from_part(codec.to_part(answer_part, stamp=0))
            self._send_to_source(
                lambda: self.fleet.resume(
                    self.source, self.request_id, answer_part, self.origin_caller
                )
            )
            return
        self._send_to_source(
            lambda: _complete_request(
                self.fleet, self.source, self.request_id, usage, self.origin_caller
            )
        )

    def _send_to_source(self, deliver: typing.Callable[[], None]) -> None:
        """Call a function after the delay to the source, or fail the attempt if unreachable."""
        if self.fleet.reachable(self.target, self.source):
            self.fleet.clock.schedule_after(
                self.fleet.peer_delay(self.target, self.source), deliver
            )
        else:
            self.fleet.clock.schedule_after(CONNECTION_LOST_DELAY_S, self.on_connection_lost)

    def on_connection_lost(self) -> None:
        """Fail the attempt at the source; the target may have run the request."""
        self.is_finished = True
        error = errors.GatewayError(
            errors.Code.PEER_FAILED,
            step="forward",
            peer=self.target.name,
            run=errors.RunStatus.MAY_HAVE_RUN,
        )
        answer_part = answers.Failure(request_id=self.request_id, attempt=self.attempt, error=error)
        self.fleet.resume(self.source, self.request_id, answer_part, self.origin_caller)


def _complete_request(
    fleet: FleetInterface,
    instance: instances.Instance,
    request_id: str,
    usage: answers.Usage,
    caller: typing.Any,
) -> None:
    """Finish a request on an instance with a complete answer, and tell its caller."""
    recorded = answers.RecordedAnswer(status=200, headers=(), body=b"done", has_body=True)
    fleet.finish(instance, request_id, usage=usage, recorded=recorded)
    caller.on_ended(usage=usage, error=None)


def serve_at_once(
    fleet: FleetInterface,
    instance: instances.Instance,
    work: actions.Dispatch,
    report: typing.Callable[..., None],
) -> None:
    """Answer a dispatched request after 50 ms, with all the output tokens that it may use."""
    usage = answers.Usage(work.request.prompt_tokens, work.max_tokens)
    fleet.clock.schedule_after(0.01, lambda: report("head"))
    fleet.clock.schedule_after(0.05, lambda: report("end", usage=usage))


@functools.singledispatch
def execute_action(
    action: typing.Any,
    fleet: FleetInterface,
    instance: instances.Instance,
    next_action: request_lifecycle.NextAction,
    caller: typing.Any,
) -> None:
    """Carry out an action that the filter chain of an instance returned."""
    raise TypeError(type(action))


@execute_action.register(actions.Refuse)
def _(
    action: actions.Refuse,
    fleet: FleetInterface,
    instance: instances.Instance,
    next_action: request_lifecycle.NextAction,
    caller: typing.Any,
) -> None:
    fleet.finish(
        instance,
        next_action.request_id,
        usage=answers.Usage(),
        succeeded=False,
        error=action.error,
    )
    caller.on_ended(
        usage=answers.Usage(), error=action.error, operation=next_action.operation_state
    )


@execute_action.register(actions.Replay)
def _(
    action: actions.Replay,
    fleet: FleetInterface,
    instance: instances.Instance,
    next_action: request_lifecycle.NextAction,
    caller: typing.Any,
) -> None:
    fleet.finish(instance, next_action.request_id, usage=answers.Usage())
    caller.on_first_byte()
    caller.on_ended(usage=answers.Usage(), error=None, replayed=True)


@execute_action.register(actions.Deliver)
def _(
    action: actions.Deliver,
    fleet: FleetInterface,
    instance: instances.Instance,
    next_action: request_lifecycle.NextAction,
    caller: typing.Any,
) -> None:
    caller.on_first_byte()


@execute_action.register(actions.Perform)
def _(
    action: actions.Perform,
    fleet: FleetInterface,
    instance: instances.Instance,
    next_action: request_lifecycle.NextAction,
    caller: typing.Any,
) -> None:
    _perform_work(action.work, fleet, instance, caller)


@functools.singledispatch
def _perform_work(
    work: typing.Any, fleet: FleetInterface, instance: instances.Instance, caller: typing.Any
) -> None:
    """Start the work that an instance waits for: a dispatch or a forward."""
    raise TypeError(type(work))


@_perform_work.register(actions.Dispatch)
def _(
    work: actions.Dispatch, fleet: FleetInterface, instance: instances.Instance, caller: typing.Any
) -> None:
    caller.on_admitted()
    result = fleet.results.get(work.request.id)

    def report(
        kind: str,
        *,
        usage: answers.Usage | None = None,
        error: errors.GatewayError | None = None,
        crashed: bool = False,
    ) -> None:
        """Report the outcome of the dispatch to the instance: "head", "end" or "failure"."""
        if not instance.alive:
            return
        if kind == "head":
            head = answers.Head(
                request_id=work.request.id,
                attempt=work.attempt,
                status=200,
                headers=(),
                source=work.upstream,
            )
            fleet.resume(instance, work.request.id, head, caller)
        elif kind == "end":
            _complete_request(fleet, instance, work.request.id, usage, caller)
        else:
            answer_part = answers.Failure(
                request_id=work.request.id, attempt=work.attempt, error=error, crashed=crashed
            )
            fleet.resume(instance, work.request.id, answer_part, caller)

    if result is not None:
        result.upstreams.append(work.upstream)
    fleet.serve(fleet, instance, work, report)


@_perform_work.register(actions.Forward)
def _(
    work: actions.Forward, fleet: FleetInterface, instance: instances.Instance, caller: typing.Any
) -> None:
    caller.on_admitted()
    target = fleet.instance_by_address(work.address)
    encoded = codec.to_forwarded(work, stamp=0).SerializeToString()
    fleet.forwards.append((work.request.id, instance.name, work.instance))

    def fail_forward() -> None:
        error = errors.GatewayError(
            errors.Code.PEER_UNREACHABLE, step="forward", peer=work.instance
        )
        answer_part = answers.Failure(request_id=work.request.id, attempt=work.attempt, error=error)
        fleet.resume(instance, work.request.id, answer_part, caller)

    def arrive() -> None:
        """Begin the request at the target."""
        if not target.alive:
            fail_forward()
            return

        def begin(now: float) -> None:
            message = peer_pb2.Forwarded.FromString(encoded)
            request, hop, attempt = codec.from_forwarded(message, now=now)
            peer_caller = PeerCaller(
                fleet,
                source=instance,
                target=target,
                request_id=request.id,
                attempt=attempt,
                origin_caller=caller,
            )
            next_action = target.decisions.begin(request, hop, now)
            fleet.callers[(target.name, request.id)] = peer_caller
            if next_action is not None:
                fleet.execute_action(target, next_action, peer_caller)

        fleet.run_on(target, begin)

    if target is None or not fleet.reachable(instance, target):
        fleet.clock.schedule_after(1.0, fail_forward)
    else:
        fleet.clock.schedule_after(fleet.peer_delay(instance, target), arrive)
