"""The memory that the answer to one request takes on its way to the caller."""

from __future__ import annotations

import asyncio
import contextlib
import typing

from yuccahitch import errors
from yuccahitch.controllers.intake import holding as holdings
from yuccahitch.tasks import intake

# Time after which a wait for memory is tried again, in seconds; by then others may be given up.
RETRY_PERIOD_S = 0.5
STEP = "intake"


class AnswerMemory:
    """Counts the bytes of an answer that have come and that the caller has not taken.

    Args:
        caller_intake: Grants the memory.
        holding: What is held for the request.

    Attributes:
        waiter: Completed when memory may be there; None while nothing waits for it.
        sent_bytes: Bytes that were handed to the connection of the caller.
        read_bytes: Bytes among these that the caller had taken when that was last looked at.
        unsent_bytes: Returns how many of them the caller's system has not received.
        is_received: Whether the upstream has sent the whole answer.
        on_received_early: Called once, when the upstream has sent the whole answer while the
            caller lets it wait.
        was_given_up: Whether the answer was given up as memory was short.
    """

    __slots__ = (
        "caller_intake",
        "holding",
        "waiter",
        "sent_bytes",
        "read_bytes",
        "unsent_bytes",
        "is_received",
        "on_received_early",
        "was_given_up",
    )

    def __init__(self, caller_intake: intake.Intake, holding: holdings.Holding) -> None:
        self.caller_intake = caller_intake
        self.holding = holding
        self.waiter: asyncio.Future[None] | None = None
        self.sent_bytes = 0
        self.read_bytes = 0
        self.unsent_bytes: typing.Callable[[], int] = _nothing
        self.is_received = False
        self.on_received_early: typing.Callable[[], None] | None = None
        self.was_given_up = False
        caller_intake.answers[holding] = self

    def try_take(self, count: int) -> bool:
        """Add bytes that have come, if there is memory for them; others are given up for it.

        Returns:
            Whether there is memory for them.
        """
        return self.caller_intake.try_take_for_answer(self.holding, count)

    async def take(self, count: int) -> None:
        """Add bytes that have come, waiting for memory if needed."""
        while not self.try_take(count):
            await self._wait()

    def give_back(self, count: int) -> None:
        """Remove bytes that the connection of the caller has taken."""
        self.sent_bytes += count
        self.caller_intake.budget.give_back(self.holding, count)
        self.wake()
        self.caller_intake.wake_next()

    def drop(self, count: int) -> None:
        """Remove bytes that nobody gets."""
        self.caller_intake.budget.give_back(self.holding, count)
        self.caller_intake.wake_next()

    def begin_lag(self) -> None:
        """Note that the answer waits for the caller to read."""
        if not self.holding.has_lagged:
            self.read_bytes = self.sent_bytes - self.unsent_bytes()
        self.caller_intake.begin_lag(self)
        self._report_received()

    def end_lag(self) -> None:
        """Note that the caller has read what waited."""
        self.look_at_reading()
        self.caller_intake.end_lag(self)

    @contextlib.contextmanager
    def lag(self) -> typing.Iterator[None]:
        """Let the answer count as waiting for its reader while the body of the context runs."""
        self.begin_lag()
        try:
            yield
        finally:
            self.end_lag()

    def look_at_reading(self) -> None:
        """Record what the caller has read since that was last looked at."""
        read_bytes = self.sent_bytes - self.unsent_bytes()
        if read_bytes > self.read_bytes:
            self.holding.record_moved(read_bytes - self.read_bytes, self.caller_intake.time.now())
            self.read_bytes = read_bytes

    def record_received(self) -> None:
        """Note that the upstream has sent the whole answer."""
        self.is_received = True
        self.caller_intake.end_run(self.holding)
        self._report_received()

    def given_up_error(self) -> errors.GatewayError:
        """Return the error of an answer that was given up."""
        return errors.GatewayError(
            errors.Code.CALLER_SLOW, step=STEP, run=errors.RunStatus.MAY_HAVE_RUN
        )

    def wake(self) -> None:
        """Let the answer try again to get the memory that it waits for."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def _report_received(self) -> None:
        """Report that the upstream is done, if the caller keeps the request open."""
        if self.is_received and self.holding.is_lagging and self.on_received_early is not None:
            report, self.on_received_early = self.on_received_early, None
            report()

    async def _wait(self) -> None:
        """Wait until memory may be there."""
        self.waiter = asyncio.get_running_loop().create_future()
        self.caller_intake.answers_waiting[self] = None
        try:
            async with asyncio.timeout(RETRY_PERIOD_S):
                await self.waiter
        except TimeoutError:
            pass
        finally:
            self.waiter = None
            self.caller_intake.answers_waiting.pop(self, None)


def _nothing() -> int:
    return 0
