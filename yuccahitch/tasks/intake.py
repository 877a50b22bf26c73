"""Holds bodies and heads of callers within a budget of memory, and bounds their connections."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import os
import resource
import typing

from yuccahitch import clock, errors, events
from yuccahitch.controllers.intake import budget, machine_limits

# Copies of a body while it comes in: the buffer, and the body that is made of it.
INCOMING_COPIES = 2
# Copies of a body while its request runs: the body, a message to a peer, and its encoding.
RUNNING_COPIES = 5
# Longest wait for memory, in seconds; longer than the time after which others count as stalled.
WAIT_LIMIT_S = budget.STALL_S + 0.5
RETRY_AFTER_S = 1.0
STEP = "intake"

# Closes the connection that a holding belongs to.
Abort = typing.Callable[[], None]


class Connection(typing.Protocol):
    """An open connection of a caller."""

    idle_since: float | None

    def abort(self) -> None:
        """Close the connection at once."""


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
        connections: The open connections, the oldest first.
        max_connections: How many may be open.
        closed: Number of holdings and connections that were closed, by metric labels.
    """

    __slots__ = (
        "time",
        "log",
        "budget",
        "aborts",
        "waiters",
        "connections",
        "max_connections",
        "closed",
    )

    def __init__(
        self, limits: machine_limits.MachineLimits, *, time: clock.Clock, log: events.Log
    ) -> None:
        self.time = time
        self.log = log
        self.budget = budget.Budget(limits.budget_bytes)
        self.max_connections = limits.max_connections
        self.aborts: dict[budget.Holding, Abort] = {}
        self.waiters: collections.deque[asyncio.Future[None]] = collections.deque()
        self.connections: dict[Connection, None] = {}
        self.closed: dict[tuple[tuple[str, str], ...], int] = {}

    def open(self, address: str, abort: Abort) -> budget.Holding:
        """Return a new holding.

        Args:
            address: Address of the caller.
            abort: Closes the connection that the bytes come from.
        """
        holding = self.budget.open(address, self.time.now())
        self.aborts[holding] = abort
        return holding

    def close(self, holding: budget.Holding) -> None:
        """Give back what a holding takes, and let an upload that waits go on."""
        self.budget.close(holding)
        self.aborts.pop(holding, None)
        self._wake_waiters()

    @contextlib.contextmanager
    def holding(self, address: str, abort: Abort) -> typing.Iterator[budget.Holding]:
        """Open a holding, and close it at the end of the context."""
        holding = self.open(address, abort)
        try:
            yield holding
        finally:
            self.close(holding)

    def try_take(self, holding: budget.Holding, count: int) -> bool:
        """Add bytes to a holding; stalled ones are given up for it.

        Returns:
            Whether there is memory for them.
        """
        now = self.time.now()
        while not self.budget.take(holding, count, now):
            stalled = self.budget.stalled(holding, count, now) if holding.is_open else None
            if stalled is None:
                return False
            self._shed(stalled)
        return True

    def take_at_once(self, holding: budget.Holding, count: int) -> None:
        """Add bytes to a holding without waiting.

        Raises:
            errors.GatewayError: When there is no memory for them.
        """
        if not self.try_take(holding, count):
            raise self._short_error()

    async def take(self, holding: budget.Holding, count: int) -> None:
        """Add bytes to a holding, waiting for memory if needed, once for a time in all.

        Raises:
            errors.GatewayError: When there is no memory for them in time.
        """
        while not self.try_take(holding, count):
            if holding.waits_until is None:
                holding.waits_until = self.time.now() + WAIT_LIMIT_S
            left_s = holding.waits_until - self.time.now()
            if left_s <= 0 or not holding.is_open:
                raise self._short_error()
            await self._wait(holding, left_s)

    async def take_running(self, holding: budget.Holding, size: int) -> None:
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

    def _shed(self, holding: budget.Holding) -> None:
        """Close the connection of a holding, and count its memory as free."""
        abort = self.aborts[holding]
        self._count("upload", "memory", held=holding.size)
        self.close(holding)
        abort()

    def _count(self, kind: str, short_of: str, **fields: typing.Any) -> None:
        labels = (("kind", kind),)
        self.closed[labels] = self.closed.get(labels, 0) + 1
        self.log.write(events.Event.CALLER_CLOSED, kind=kind, short_of=short_of, **fields)

    async def _wait(self, holding: budget.Holding, limit_s: float) -> None:
        """Wait until memory is given back, at most for a time."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        holding.is_waiting = True
        try:
            async with asyncio.timeout(limit_s):
                await waiter
        except TimeoutError:
            pass
        finally:
            holding.is_waiting = False
            holding.progressed_at = self.time.now()
            with contextlib.suppress(ValueError):
                self.waiters.remove(waiter)

    def _wake_waiters(self) -> None:
        """Let all that wait try again, in their order."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)

    def _short_error(self) -> errors.GatewayError:
        detail = "there is no memory for the body at present"
        return errors.GatewayError(
            errors.Code.OVERLOADED, step=STEP, detail=detail, retry_after=RETRY_AFTER_S
        )


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
