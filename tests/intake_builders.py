"""Builders of what grants memory and connections to callers."""

from __future__ import annotations

from yuccahitch import clock, events
from yuccahitch.controllers.intake import machine_limits
from yuccahitch.tasks import answer_memory, intake

MEMORY_MB = 400
DESCRIPTORS = 4000
LONG_ANSWER_BYTES = 4_000_000


def an_intake(log, *, time=None, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS):
    """Return an intake of a machine with some memory and descriptors."""
    limits = machine_limits.MachineLimits(memory_mb=memory_mb, max_descriptors=descriptors)
    return intake.Intake(limits, time=time or clock.SystemClock(), log=log)


def an_answer_memory(**options):
    """Return what counts the bytes of an answer, for a machine of its own."""
    time = clock.SystemClock()
    caller_intake = an_intake(events.Log("memory", events.HybridClock(time.wall)), **options)
    holding = caller_intake.open("10.0.0.1", _ignore)
    holding.is_incoming = False
    return answer_memory.AnswerMemory(caller_intake, holding)


def fill_with_answers(caller_intake, piece=16_000):
    """Let other answers take all memory that there is for answers, and return what they hold."""
    others = []
    while True:
        holding = caller_intake.open("10.0.0.2", _ignore)
        holding.is_incoming = False
        if not caller_intake.try_take_for_answer(holding, piece):
            caller_intake.close(holding)
            return others
        others.append(holding)
        while holding.answer_bytes < LONG_ANSWER_BYTES and caller_intake.try_take_for_answer(
            holding, piece
        ):
            pass


def _ignore():
    """Close nothing."""


class SteppedClock:
    """A clock that a test sets; it steps forward with each reading once it runs.

    Attributes:
        seconds: Monotonic seconds.
        step_s: Seconds that each reading adds.
    """

    def __init__(self):
        self.seconds = 0.0
        self.step_s = 0.0

    def now(self):
        """Return monotonic seconds."""
        self.seconds += self.step_s
        return self.seconds


class FakeConnection:
    """A connection that records that it was closed."""

    def __init__(self, name, aborted, idle_since):
        self.name = name
        self.aborted = aborted
        self.idle_since = idle_since

    def abort(self):
        """Record the end of the connection."""
        self.aborted.append(self.name)


class IntakeUnderTest:
    """An intake with a clock of its own, and holdings by address.

    Attributes:
        aborted: Addresses and connections that were given up, in order.
    """

    def __init__(self, limit, *, max_connections=10):
        self.aborted = []
        self.clock = SteppedClock()
        self.log = events.Log("intake", events.HybridClock(self.clock.now))
        self.intake = an_intake(self.log, time=self.clock)
        self.intake.budget.limit = limit
        self.intake.max_connections = max_connections
        self.holdings = {}

    def logged_events(self):
        """Return the names of the events that were logged."""
        return {dict(labels)["event"] for labels in self.log.series}

    def upload(self, address, size, *, now):
        """Begin an upload that has sent some bytes, and return what is held."""
        assert self.ask(address, size, now=now)
        return self.holdings[address]

    def ask(self, address, size, *, now):
        """Begin an upload, and return whether it gets its bytes."""
        self.clock.seconds = now
        holding = self.intake.open(address, lambda: self.aborted.append(address))
        self.holdings[address] = holding
        return self.intake.try_take(holding, size)

    def extend(self, address, size, *, now):
        """Add bytes to an upload."""
        self.clock.seconds = now
        assert self.intake.try_take(self.holdings[address], size)

    def answer(self, address, size, *, now):
        """Begin an answer of which some bytes have come, and return whether it gets them."""
        self.clock.seconds = now
        holding = self.intake.open(address, lambda: self.aborted.append(address))
        holding.is_incoming = False
        self.holdings[address] = holding
        return self.intake.try_take_for_answer(holding, size)

    def extend_answer(self, address, size):
        """Add bytes to an answer, and return whether it gets them."""
        return self.intake.try_take_for_answer(self.holdings[address], size)

    def fill_answer(self, address, piece):
        """Add pieces to an answer while it gets them, and return how many bytes it has."""
        holding = self.holdings[address]
        while holding.answer_bytes < LONG_ANSWER_BYTES and self.extend_answer(address, piece):
            pass
        return holding.answer_bytes

    def let_wait(self, address, *, now):
        """Let an answer wait for its caller."""
        self.holdings[address].begin_lag(now)

    def run(self, address, *, now):
        """Count a request as running."""
        self.clock.seconds = now
        self.intake.begin_run(self.holdings[address])

    def leave(self, address, task, size):
        """Let the caller go away while a task runs its request with a body of a size."""
        self.intake.outlast(self.holdings[address], task, size)

    def end_run(self, address):
        """Note that the upstream of a request is done."""
        self.intake.end_run(self.holdings[address])

    def read(self, address, size, *, now):
        """Let the caller read bytes of an answer that goes on waiting."""
        self.holdings[address].record_moved(size, now)
        self.intake.budget.give_back(self.holdings[address], size)

    async def wait(self, address, size):
        """Begin an upload, and wait until it gets its bytes."""
        self.clock.step_s = 1.0
        holding = self.intake.open(address, lambda: self.aborted.append(address))
        await self.intake.take(holding, size)

    def close(self, address):
        """Give back what an upload takes."""
        self.intake.close(self.holdings[address])

    def connect(self, name, *, idle_since):
        """Open a connection."""
        self.intake.add_connection(FakeConnection(name, self.aborted, idle_since))
