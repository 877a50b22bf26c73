"""Streams in virtual time: upstreams of several software versions, callers, and runs of requests.

Upstreams do not check at which version a stream began. What callers hold is the truth that a
simulation checks.
"""

from __future__ import annotations

import functools
import typing

from tests import version_connections
from yuccahitch import errors
from yuccahitch.codecs import peer
from yuccahitch.messages import actions, answers, request_lifecycle, upstream_notices

EVENTS = 12
EVENT_GAP_S = 0.25
PREFILL_S = 0.15
HOP_S = 0.02
HEADERS = (("content-type", "text/event-stream"), ("x-response-signature", "s"))
# Time after which a request that is still open is given up by its caller, in seconds.
PATIENCE_S = 15.0


class Upstream:
    """An upstream.

    Attributes:
        name: Its id.
        service: Its service.
        version: Version of its software.
        zone: Its availability zone.
        born_ms: Its start, in virtual milliseconds.
        is_up: Whether it answers.
        is_listed: Whether its entry is to stand in the store.
        serves_since: When it last began to serve, in virtual seconds.
    """

    __slots__ = (
        "name",
        "service",
        "version",
        "zone",
        "born_ms",
        "is_up",
        "is_listed",
        "serves_since",
    )

    def __init__(self, name: str, service: str, version: str, zone: str, now: float) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.zone = zone
        self.born_ms = int(now * 1000)
        self.is_up = True
        self.is_listed = True
        self.serves_since = now


class Event:
    """An event that a caller holds."""

    __slots__ = ("number", "upstream", "at")

    def __init__(self, number: int, upstream: Upstream, at: float) -> None:
        self.number = number
        self.upstream = upstream
        self.at = at


class Stream:
    """A stream of a caller, over all its tries.

    Attributes:
        path: Path of its requests.
        events: The events that the caller holds.
        first_id: Id of the try that brought the first event, or empty.
        tries_left: How often the caller still takes it up.
        tries: Its tries, oldest first.
    """

    __slots__ = ("path", "events", "first_id", "tries_left", "tries")

    def __init__(self, path: str, tries: int) -> None:
        self.path = path
        self.events: list[Event] = []
        self.first_id = ""
        self.tries_left = tries
        self.tries: list[Run] = []

    def is_whole(self) -> bool:
        """Return whether the caller holds the last event."""
        return bool(self.events) and self.events[-1].number == EVENTS

    def origins(self) -> set[tuple[str, str]]:
        """Return service and software version of the upstreams that made the held events."""
        return {(event.upstream.service, event.upstream.version) for event in self.events}

    def is_in_order(self) -> bool:
        """Return whether the held events are numbered from 1 without a gap."""
        return [event.number for event in self.events] == list(range(1, len(self.events) + 1))


class Run:
    """A request at one instance: of a caller, or one that another instance forwarded.

    Attributes:
        site: The simulated site.
        instance: Name of the instance.
        edge: The instance.
        id: Id of the request.
        stream: The stream that it is for.
        parent: The run that forwarded it here, or None.
        child: The run that it was forwarded to, or None.
        work: The present attempt, or None.
        upstream: The upstream of the present attempt, or None.
        connection: The connection of the present attempt, or None.
        resumes: Whether it takes a stream up.
        last_id: Number of the last event that was passed on.
        began_at: When it began, in virtual seconds.
        has_head: Whether its answer has begun.
        went_on: Whether an event came through it.
        ran: Whether an upstream ran it.
        error: Error that ended it, or None.
        ended_at: When it ended, in virtual seconds, or None.
    """

    __slots__ = (
        "site",
        "instance",
        "edge",
        "id",
        "stream",
        "parent",
        "child",
        "work",
        "upstream",
        "connection",
        "resumes",
        "last_id",
        "began_at",
        "has_head",
        "went_on",
        "ran",
        "error",
        "ended_at",
    )

    def __init__(
        self, site: typing.Any, instance: str, id: str, stream: Stream, parent: Run | None = None
    ) -> None:
        self.site = site
        self.instance = instance
        self.edge = site.edges[instance]
        self.id = id
        self.stream = stream
        self.parent = parent
        self.child: Run | None = None
        self.work: actions.Dispatch | actions.Forward | None = None
        self.upstream: Upstream | None = None
        self.connection: version_connections.Connection | None = None
        self.resumes = parent is None and bool(stream.events)
        self.last_id = stream.events[-1].number if stream.events else 0
        self.began_at = site.clock.now
        self.has_head = False
        self.went_on = False
        self.ran = False
        self.error: errors.GatewayError | None = None
        self.ended_at: float | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the request has not ended, and its instance lives."""
        return self.ended_at is None and self.site.edges.get(self.instance) is self.edge

    def later(self, seconds: float, function: typing.Callable[..., None], *arguments) -> None:
        """Call a function after some time if the present attempt still goes on then."""
        work = self.work

        def call() -> None:
            if self.is_open and self.work is work:
                function(*arguments)

        self.site.defer(self.instance, seconds, call)

    def carry_out(self, outcome: request_lifecycle.NextAction | None) -> None:
        """Carry out what the instance decided; None means that the request waits there."""
        if outcome is not None and self.is_open:
            _carry_out(outcome.action, self)

    def resume(self, part: answers.Head | answers.Failure) -> None:
        """Give the instance a part of the answer, and carry out what it decides."""
        self.edge.now = self.site.clock.now
        self.carry_out(self.edge.resume_request(self.id, part))

    def pass_on(self, number: int, upstream: Upstream) -> None:
        """Pass an event on to the instance before, or to the caller."""
        self.last_id, self.went_on = number, True
        if self.parent is not None:
            if self.parent.is_open and self.parent.child is self:
                self.parent.pass_on(number, upstream)
            return
        self.stream.events.append(Event(number, upstream, self.site.clock.now))
        self.stream.first_id = self.stream.first_id or self.id

    def fail(
        self,
        code: errors.Code,
        *,
        may_have_run: bool,
        peer: str = "",
        crashed: bool = False,
    ) -> None:
        """Let the present attempt fail."""
        run = errors.RunStatus.MAY_HAVE_RUN if may_have_run else errors.RunStatus.NOT_RUN
        error = errors.GatewayError(code, step="simulation", peer=peer, run=run)
        self.fail_with(error, crashed=crashed)

    def fail_with(self, error: errors.GatewayError, *, crashed: bool = False) -> None:
        """Let the present attempt fail with an error."""
        failure = answers.Failure(
            request_id=self.id, attempt=self.work.attempt, error=error, crashed=crashed
        )
        if self.has_head:
            failure.last_event_id = str(self.last_id) if self.last_id else ""
        self.work = self.upstream = self.connection = None
        self.resume(failure)

    def complete(self) -> None:
        """End the request after its whole answer; its connection can carry another one."""
        self.site.connections.put_back(self.instance, self.connection)
        self.end(None)

    def end(self, error: errors.GatewayError | None) -> None:
        """End the request at its instance, and tell who waits for it."""
        self.close(error)
        if self.parent is None:
            self.site.on_run_ended(self)
        elif self.parent.is_open and self.parent.child is self:
            self._tell_parent(error)

    def _tell_parent(self, error: errors.GatewayError | None) -> None:
        if error is None:
            self.parent.end(None)
            return
        failure = answers.Failure(request_id=self.id, attempt=self.parent.work.attempt, error=error)
        part = peer.from_part(peer.to_part(failure, stamp=1))
        self.parent.child = None
        self.parent.fail_with(part.error, crashed=error.code is errors.Code.UPSTREAM_FAILED)

    def close(self, error: errors.GatewayError | None, *, abandoned: bool = False) -> None:
        """Finish the request at its instance, and at the one that it was forwarded to."""
        if self.ended_at is not None:
            return
        self.ended_at, self.error = self.site.clock.now, error
        child, self.child = self.child, None
        if child is not None:
            child.close(error, abandoned=True)
        if self.site.edges.get(self.instance) is self.edge:
            self.edge.now = self.site.clock.now
            message = request_lifecycle.Finish(
                self.id,
                succeeded=error is None and not abandoned,
                usage=answers.Usage(),
                error=error,
                abandoned=abandoned,
            )
            self.edge.decisions.finish(message, self.site.clock.now)

    def send_event(self, number: int) -> None:
        """Let the upstream of the present attempt send an event."""
        if self.connection.is_broken():
            self.fail(
                errors.Code.UPSTREAM_FAILED,
                may_have_run=True,
                peer=self.upstream.name,
                crashed=True,
            )
            return
        self.pass_on(number, self.upstream)
        if number >= EVENTS:
            self.later(EVENT_GAP_S, self.complete)
        else:
            self.later(EVENT_GAP_S, self.send_event, number + 1)


@functools.singledispatch
def _carry_out(action: typing.Any, run: Run) -> None:
    raise TypeError(type(action))


@_carry_out.register
def _(action: actions.Refuse, run: Run) -> None:
    run.end(action.error)


@_carry_out.register
def _(action: actions.Deliver, run: Run) -> None:
    """Begin the answer, or go on with it: events of the present upstream follow."""
    begins = not run.has_head
    run.has_head = True
    if run.upstream is not None:
        number = int(run.work.request.resume_after or 0) + 1
        run.later(EVENT_GAP_S, run.send_event, number)
    if run.parent is not None and begins and run.parent.child is run:
        head = peer.from_part(peer.to_part(action.head, stamp=1))
        run.parent.resume(head)


@_carry_out.register
def _(action: actions.Perform, run: Run) -> None:
    run.work = action.work
    run.upstream = run.connection = run.child = None
    _start(action.work, run)


@functools.singledispatch
def _start(work: typing.Any, run: Run) -> None:
    raise TypeError(type(work))


@_start.register
def _(work: actions.Dispatch, run: Run) -> None:
    connection = run.site.connections.take(run.instance, work)
    if connection is None:
        run.later(HOP_S, _connect, work, run)
    else:
        run.later(HOP_S, _arrive, work, run, connection)


def _connect(work: actions.Dispatch, run: Run) -> None:
    """Open a connection to the present start of an upstream, and ask for that start."""
    upstream = run.site.upstreams[work.upstream]
    if not upstream.is_up:
        run.fail(errors.Code.UPSTREAM_REFUSED, may_have_run=False, peer=upstream.name)
        return
    connection = version_connections.Connection(upstream)
    run.later(HOP_S, _send, work, run, connection)


def _send(work: actions.Dispatch, run: Run, connection: version_connections.Connection) -> None:
    """Send a request on a connection whose start was told, unless it is another one."""
    required = work.required_start
    if connection.is_broken():
        run.fail(errors.Code.UPSTREAM_REFUSED, may_have_run=False, peer=work.upstream)
    elif required.admits(connection.born_ms):
        run.later(HOP_S, _arrive, work, run, connection)
    else:
        notice = upstream_notices.UpstreamNotice(
            work.upstream,
            incarnation=work.incarnation,
            replaced=required.is_other(connection.born_ms),
        )
        run.edge.decisions.on_upstream_notice(notice, run.site.clock.now)
        run.fail(errors.Code.UPSTREAM_REPLACED, may_have_run=False, peer=work.upstream)


def _arrive(work: actions.Dispatch, run: Run, connection: version_connections.Connection) -> None:
    """Let a request arrive at the start of an upstream that its connection leads to."""
    if connection.is_broken():
        _lose(work, run)
        return
    run.upstream, run.connection = connection.upstream, connection
    for ancestor in (run, run.parent):
        if ancestor is not None:
            ancestor.ran = True
    run.later(PREFILL_S, _answer, work, run)


def _answer(work: actions.Dispatch, run: Run) -> None:
    """Let an upstream begin its answer."""
    if run.connection.is_broken():
        _lose(work, run)
        return
    run.resume(a_head(work))


def _lose(work: actions.Dispatch, run: Run) -> None:
    """Let the connection of an attempt break."""
    run.fail(errors.Code.UPSTREAM_FAILED, may_have_run=True, peer=work.upstream, crashed=True)


@_start.register
def _(work: actions.Forward, run: Run) -> None:
    run.site.defer(run.instance, HOP_S, functools.partial(_forward, work, run))


def _forward(work: actions.Forward, run: Run) -> None:
    """Let a request arrive at the instance that it is forwarded to."""
    if not run.is_open or run.work is not work:
        return
    name = run.site.name_of(work.instance)
    if name is None or run.site.is_paused(name):
        run.fail(errors.Code.PEER_UNREACHABLE, may_have_run=False)
        return
    child = run.child = Run(run.site, name, run.id, run.stream, parent=run)
    message = peer.to_forwarded(work, stamp=1)
    now = run.site.clock.now
    request, hop, _ = peer.from_forwarded(message, now=now)
    run.site.runs[name][run.id] = child
    child.edge.now = now
    child.carry_out(child.edge.decisions.begin(request, hop, now))


def a_head(work: actions.Dispatch) -> answers.Head:
    """Return the head with which an upstream begins to answer."""
    own_fields = {name for name in ("software_version",) if name in answers.Head.__slots__}
    return answers.Head(
        request_id=work.request.id,
        attempt=work.attempt,
        status=200,
        headers=HEADERS,
        source=work.upstream,
        **{name: getattr(work, name) for name in own_fields},
    )


def request_headers(stream: Stream, request_id: str) -> dict[str, str]:
    """Return the headers of a try for a stream."""
    headers = {"X-Request-Id": request_id, "X-Deadline-Ms": str(int(PATIENCE_S * 1000))}
    if stream.events:
        headers |= {"Last-Event-Id": str(stream.events[-1].number), "Resumes": stream.first_id}
    return headers
