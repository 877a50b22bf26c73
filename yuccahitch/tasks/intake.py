"""Grants memory for bodies, heads and answers, and bounds the connections of callers."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import os
import resource
import typing

from yuccahitch import clock, errors, events
from yuccahitch.controllers.intake import budget, machine_limits
from yuccahitch.controllers.intake import holding as holdings
from yuccahitch.tasks import parse_turns

# Copies of a body while it comes in: the buffer, and the body that is made of it.
INCOMING_COPIES = 2
# Copies of a body while its request runs: the body, a message to a peer, and its encoding.
RUNNING_COPIES = 5
# Longest wait for memory, in seconds; longer than the time after which others count as stalled.
WAIT_LIMIT_S = holdings.STALL_S + 0.5
RETRY_AFTER_S = 1.0
# Time between two looks at what callers have read of the answers that wait for them, in seconds.
READING_PERIOD_S = 0.5
# Answers that wait for memory and try again when a request has ended.
WOKEN_ANSWERS = 8
STEP = "intake"
SHORT_OF_MEMORY = "there is no memory for the body at present"

# Closes the connection that a holding belongs to.
Abort = typing.Callable[[], None]


class Connection(typing.Protocol):
    """An open connection of a caller."""

    idle_since: float | None

    def abort(self) -> None:
        """Close the connection at once."""


class Answer(typing.Protocol):
    """An answer that takes memory on its way to the caller."""

    holding: holdings.Holding
    was_given_up: bool

    def look_at_reading(self) -> None:
        """Record what the caller has read since that was last looked at."""

    def wake(self) -> None:
        """Let the answer try again to get the memory that it waits for."""


class Intake:
    """Grants memory and connections to callers.

    Args:
        limits: How much is held at most.
        time: Source of monotonic time.
        log: Event log.

    Attributes:
        budget: The bytes that are held.
        aborts: What closes the connection of each holding.
        waiters: Uploads that wait for memory, the first to come first.
        answers: The answers by what is held for their requests.
        answers_waiting: Answers that wait for memory, the first to come first.
        answers_lagging: Answers that wait for their callers to read.
        reading_timer: Looks at how much of these was read, or None while there are none.
        turns: Lets connections parse in turns.
        connections: The open connections, the oldest first.
        max_connections: How many may be open.
        runs: What is held for the requests that run at upstreams, the oldest first.
        max_runs: How many may run.
        closed: Number of holdings and connections that were closed, by metric labels.
    """

    __slots__ = (
        "time",
        "log",
        "budget",
        "aborts",
        "waiters",
        "answers",
        "answers_waiting",
        "answers_lagging",
        "reading_timer",
        "turns",
        "connections",
        "max_connections",
        "runs",
        "max_runs",
        "closed",
    )

    def __init__(
        self, limits: machine_limits.MachineLimits, *, time: clock.Clock, log: events.Log
    ) -> None:
        self.time = time
        self.log = log
        self.budget = budget.Budget(limits.budget_bytes)
        self.max_connections = limits.max_connections
        self.max_runs = limits.max_runs
        self.runs: dict[holdings.Holding, None] = {}
        self.aborts: dict[holdings.Holding, Abort] = {}
        self.waiters: collections.deque[asyncio.Future[None]] = collections.deque()
        self.answers: dict[holdings.Holding, Answer] = {}
        self.answers_waiting: dict[Answer, None] = {}
        self.answers_lagging: dict[Answer, None] = {}
        self.reading_timer: asyncio.TimerHandle | None = None
        self.turns = parse_turns.ParseTurns()
        self.connections: dict[Connection, None] = {}
        self.closed: dict[tuple[tuple[str, str], ...], int] = {}

    def open(self, address: str, abort: Abort, *, is_forwarded: bool = False) -> holdings.Holding:
        """Return a new holding.

        Args:
            address: Address of the caller, or id of the instance that forwarded the request.
            abort: Closes the connection that the bytes come from.
            is_forwarded: Whether another instance forwarded the request.
        """
        holding = self.budget.open(address, self.time.now(), is_forwarded=is_forwarded)
        self.aborts[holding] = abort
        return holding

    def close(self, holding: holdings.Holding) -> None:
        """Give back what a holding takes, and let uploads and answers that wait go on."""
        self.budget.close(holding)
        self.aborts.pop(holding, None)
        self.end_run(holding)
        answer = self.answers.pop(holding, None)
        if answer is not None:
            self.answers_lagging.pop(answer, None)
        self._wake_waiters()
        for waiting in list(itertools.islice(self.answers_waiting, WOKEN_ANSWERS)):
            waiting.wake()

    @contextlib.contextmanager
    def holding(
        self, address: str, abort: Abort, *, is_forwarded: bool = False
    ) -> typing.Iterator[holdings.Holding]:
        """Open a holding, and close it at the end of the context."""
        holding = self.open(address, abort, is_forwarded=is_forwarded)
        try:
            yield holding
        finally:
            self.close(holding)

    def outlast(self, holding: holdings.Holding, task: asyncio.Task[None], size: int) -> None:
        """Close a holding whose caller has gone, but hold its body until its request has ended.

        Args:
            holding: What is held, unless it was given up.
            task: Runs the request.
            size: Bytes of the body.
        """
        self.close(holding)
        rest = self.open(holding.address, task.cancel)
        rest.is_incoming = False
        self.budget.keep(rest, size * RUNNING_COPIES)
        self.runs[rest] = None
        task.add_done_callback(lambda _: self.close(rest))

    def try_take(self, holding: holdings.Holding, count: int) -> bool:
        """Add bytes of a head or body to a holding; others are given up for it if need be.

        Returns:
            Whether there is memory for them.
        """
        now = self.time.now()
        while not self.budget.take(holding, count, now):
            victim = self.budget.victim(holding, count, now) if holding.is_open else None
            if victim is None:
                return False
            self._give_up(victim, "memory")
        return True

    def try_take_for_answer(self, holding: holdings.Holding, count: int) -> bool:
        """Add bytes of an answer to a holding; others are given up for its first ones.

        Returns:
            Whether there is memory for them.
        """
        while not self.budget.take_for_answer(holding, count):
            victim = self.budget.victim_for_answer(holding, count, self.time.now())
            if victim is None:
                return False
            self._give_up(victim, "memory")
        return True

    def begin_run(self, holding: holdings.Holding) -> None:
        """Count a request as running; one too many ends an answer that is not read, or is refused.

        Raises:
            errors.GatewayError: When too many requests run.
        """
        while len(self.runs) >= self.max_runs:
            victim = self.budget.victim_for_run(holding, self.runs, self.time.now())
            if victim is None:
                raise _overload_error("too many requests run at present")
            self._give_up(victim, "runs")
        self.runs[holding] = None

    def end_run(self, holding: holdings.Holding) -> None:
        """Note that the upstream is done with a request; nothing happens if that is known."""
        self.runs.pop(holding, None)

    def begin_lag(self, answer: Answer) -> None:
        """Note that an answer waits for its caller, and look at what the caller reads."""
        answer.holding.begin_lag(self.time.now())
        if not answer.holding.is_open:
            return
        self.answers_lagging[answer] = None
        if self.reading_timer is None:
            self._look_later()

    def end_lag(self, answer: Answer) -> None:
        """Note that an answer no longer waits for its caller."""
        self.answers_lagging.pop(answer, None)
        answer.holding.end_lag()

    def wake_next(self) -> None:
        """Let the upload and the answer that have waited longest try again to get memory."""
        if self.waiters:
            _complete(self.waiters.popleft())
        waiting = next(iter(self.answers_waiting), None)
        if waiting is not None:
            waiting.wake()

    def take_at_once(self, holding: holdings.Holding, count: int) -> None:
        """Add bytes to a holding without waiting.

        Raises:
            errors.GatewayError: When there is no memory for them.
        """
        if not self.try_take(holding, count):
            raise _overload_error(SHORT_OF_MEMORY)

    async def take(self, holding: holdings.Holding, count: int) -> None:
        """Add bytes to a holding, waiting for memory if needed, once for a time in all.

        Raises:
            errors.GatewayError: When there is no memory for them in time.
        """
        while not self.try_take(holding, count):
            if holding.waits_until is None:
                holding.waits_until = self.time.now() + WAIT_LIMIT_S
            left_s = holding.waits_until - self.time.now()
            if left_s <= 0 or not holding.is_open:
                raise _overload_error(SHORT_OF_MEMORY)
            await self._wait(holding, left_s)

    async def take_running(self, holding: holdings.Holding, size: int) -> None:
        """Add what the copies of a complete body take while its request runs."""
        await self.take(holding, size * (RUNNING_COPIES - INCOMING_COPIES))
        holding.is_incoming = False

    def add_connection(self, connection: Connection) -> None:
        """Add a connection; beyond the limit, the one idle longest is closed, or else this one."""
        self.connections[connection] = None
        if len(self.connections) <= self.max_connections:
            return
        idle = [item for item in self.connections if item.idle_since is not None]
        victim = min(idle, key=lambda item: item.idle_since, default=connection)
        self.remove_connection(victim)
        self._count("connection", "connections")
        victim.abort()

    def remove_connection(self, connection: Connection) -> None:
        """Remove a connection that is closed; nothing happens if it was removed."""
        self.connections.pop(connection, None)

    def count_closed_head(self) -> None:
        """Record that a connection was closed because of the head it sent."""
        self._count("head", "head")

    def _give_up(self, holding: holdings.Holding, short_of: str) -> None:
        """Close the connection of a holding, and count what it takes as free."""
        abort = self.aborts[holding]
        kind = "upload" if holding.is_incoming else "answer"
        waited_s = round(self.time.now() - holding.progressed_at, 3)
        self._count(
            kind, short_of, held=holding.size, waited_s=waited_s, request=holding.request_id
        )
        if holding in self.answers:
            self.answers[holding].was_given_up = True
        self.close(holding)
        abort()

    def _look_later(self) -> None:
        """Look at what callers read after a while."""
        loop = asyncio.get_running_loop()
        self.reading_timer = loop.call_later(READING_PERIOD_S, self._look_at_reading)

    def _look_at_reading(self) -> None:
        """Record what callers have read of the answers that wait for them."""
        self.reading_timer = None
        for answer in self.answers_lagging:
            answer.look_at_reading()
        if self.answers_lagging:
            self._look_later()

    def _count(self, kind: str, short_of: str, **fields: typing.Any) -> None:
        labels = (("kind", kind),)
        self.closed[labels] = self.closed.get(labels, 0) + 1
        self.log.write(events.Event.CALLER_CLOSED, kind=kind, short_of=short_of, **fields)

    async def _wait(self, holding: holdings.Holding, limit_s: float) -> None:
        """Wait until memory is given back, at most for a time."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        holding.is_waiting = True
        began_at = self.time.now()
        try:
            async with asyncio.timeout(limit_s):
                await waiter
        except TimeoutError:
            pass
        finally:
            now = self.time.now()
            holding.end_wait(now - began_at, now)
            with contextlib.suppress(ValueError):
                self.waiters.remove(waiter)

    def _wake_waiters(self) -> None:
        """Let all that wait try again, in their order."""
        while self.waiters:
            _complete(self.waiters.popleft())


def _overload_error(detail: str) -> errors.GatewayError:
    """Return the error of a request that is refused for want of something."""
    return errors.GatewayError(
        errors.Code.OVERLOADED, step=STEP, detail=detail, retry_after=RETRY_AFTER_S
    )


def _complete(waiter: asyncio.Future[None]) -> None:
    """Let what waits for a future go on."""
    if not waiter.done():
        waiter.set_result(None)


def limits_of_machine(memory_mb: float, max_descriptors: int) -> machine_limits.MachineLimits:
    """Return the limits of a machine; 0 stands for what the operating system says.

    Args:
        memory_mb: Memory that the process may take, in MB, or 0.
        max_descriptors: Descriptors that it may open, or 0.
    """
    if not memory_mb:
        page_count = os.sysconf("SC_PHYS_PAGES")
        memory_mb = page_count * os.sysconf("SC_PAGE_SIZE") / machine_limits.BYTES_PER_MB
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return machine_limits.MachineLimits(
        memory_mb=memory_mb, max_descriptors=min(max_descriptors or soft_limit, soft_limit)
    )
