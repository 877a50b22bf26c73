"""Requests on their way through the fake fleet: callers, attempts at upstreams, forwards."""

from __future__ import annotations

import functools
import typing

from fakes import instances, virtual_time
from yuccahitch import errors
from yuccahitch.codecs import peer as codec
from yuccahitch.codecs.generated import peer_pb2
from yuccahitch.messages import actions, answers, request_lifecycle, requests

CONNECTION_LOST_DELAY_S = 2.0


class FleetInterface(typing.Protocol):
    """What requests need of the fleet that they are in."""

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
        """Let an instance handle something now, or after its pause."""

    def execute_action(
        self,
        instance: instances.Instance,
        next_action: request_lifecycle.NextAction,
        caller: typing.Any,
    ) -> None:
        """Carry out what an instance decided about a request."""

    def resume(
        self,
        instance: instances.Instance,
        request_id: str,
        answer_part: typing.Any,
        caller: typing.Any,
    ) -> None:
        """Give an instance the first part of an attempt's answer."""

    def finish(self, instance: instances.Instance, request_id: str, **details: typing.Any) -> None:
        """Tell an instance that a request is over."""

    def reachable(self, source: instances.Instance, target: instances.Instance) -> bool:
        """Return whether a message from one instance reaches another."""

    def peer_delay(self, source: instances.Instance, target: instances.Instance) -> float:
        """Return the delay of a message between two instances."""

    def instance_by_address(self, address: str) -> instances.Instance | None:
        """Return the instance with a peer address."""


class RequestResult:
    """What became of a request.

    Attributes:
        request: The request.
        requested_at: When it was sent, in virtual seconds.
        instance: The instance that took it first.
        admitted_at: When it was sent to an upstream or peer, in virtual seconds, or None.
        upstreams: Attempts that reached an upstream.
        error: The refusal, or None.
        operation: State of its idempotency key, for refusals.
        finished_at: When it ended, in virtual seconds, or None.
        replayed: Whether it got a recorded answer.
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
    """A caller at the entry: notes in the result what it is told."""

    __slots__ = ("fleet", "instance", "result")

    def __init__(
        self, fleet: FleetInterface, instance: instances.Instance, result: RequestResult
    ) -> None:
        self.fleet = fleet
        self.instance = instance
        self.result = result

    def on_admitted(self) -> None:
        """Note that the request was sent on."""
        self.fleet.on_admission(self.instance, self.result.request.id)
        if self.result.admitted_at is None:
            self.result.admitted_at = self.fleet.now

    def on_first_byte(self) -> None:
        """Note that the answer began."""
        self.result.first_byte_at = self.fleet.now

    def on_ended(
        self,
        *,
        usage: answers.Usage,
        error: errors.GatewayError | None,
        operation: str = "",
        replayed: bool = False,
    ) -> None:
        """Note how the request ended."""
        self.result.finished_at = self.fleet.now
        self.result.usage = usage
        self.result.error = error
        self.result.operation = operation
        self.result.replayed = replayed


class PeerCaller:
    """An instance that forwarded a request: passes on to it what it is told."""

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
        """Nothing to pass on: the source admitted it."""

    def on_first_byte(self) -> None:
        """Pass on that the answer began."""
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
        """Pass on how the request ended."""
        self.is_finished = True
        if error is not None:
            answer_part = answers.Failure(
                request_id=self.request_id, attempt=self.attempt, error=error
            )
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
        if self.fleet.reachable(self.target, self.source):
            self.fleet.clock.schedule_after(
                self.fleet.peer_delay(self.target, self.source), deliver
            )
        else:
            self.fleet.clock.schedule_after(CONNECTION_LOST_DELAY_S, self.on_connection_lost)

    def on_connection_lost(self) -> None:
        """Tell the source that its peer is gone after the request was sent."""
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
    recorded = answers.RecordedAnswer(status=200, headers=(), body=b"done", has_body=True)
    fleet.finish(instance, request_id, usage=usage, recorded=recorded)
    caller.on_ended(usage=usage, error=None)


def serve_at_once(
    fleet: FleetInterface,
    instance: instances.Instance,
    work: actions.Dispatch,
    report: typing.Callable[..., None],
) -> None:
    """Be an upstream that answers after a moment and uses all that it may."""
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
    """Carry out an action that a chain returned."""
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

    def unreachable() -> None:
        error = errors.GatewayError(
            errors.Code.PEER_UNREACHABLE, step="forward", peer=work.instance
        )
        answer_part = answers.Failure(request_id=work.request.id, attempt=work.attempt, error=error)
        fleet.resume(instance, work.request.id, answer_part, caller)

    def arrive() -> None:
        if not target.alive:
            unreachable()
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
        fleet.clock.schedule_after(1.0, unreachable)
    else:
        fleet.clock.schedule_after(fleet.peer_delay(instance, target), arrive)
