"""Renews the lease under which another instance runs requests of this one."""

from __future__ import annotations

import asyncio
import contextlib
import typing

from grpclib import exceptions

from yuccahitch import clock, events
from yuccahitch.controllers.runs import run_leases
from yuccahitch.tasks import mailbox

# Silence after which a lease has lapsed at the other instance, in seconds.
SILENCE_S = run_leases.LEASE_S + run_leases.END_MARGIN_S
# Timeout of a renewal, in seconds; a grant that takes longer comes too late to be returned.
RENEWAL_TIMEOUT_S = 1.0


class LeaseKeeper:
    """Renews the lease at one instance while requests run there.

    Args:
        instance: Id of the other instance.
        renew: Sends a renewal that returns a grant, and returns the new grant.
        time: Source of monotonic time.
        log: Event log.

    Attributes:
        view: What is known of the lease.
        silences: Timeouts of the open requests, which every reply puts off.
        children: The task that renews, and the renewals under way.
    """

    __slots__ = ("instance", "renew", "time", "log", "view", "silences", "children")

    def __init__(
        self,
        instance: str,
        *,
        renew: typing.Callable[[float], typing.Awaitable[float]],
        time: clock.Clock,
        log: events.Log,
    ) -> None:
        self.instance = instance
        self.renew = renew
        self.time = time
        self.log = log
        self.view = run_leases.LeaseView()
        self.silences: set[asyncio.Timeout] = set()
        self.children = mailbox.ChildTasks()

    @contextlib.asynccontextmanager
    async def hold(self) -> typing.AsyncIterator[None]:
        """Keep the lease while the body of the context runs.

        Raises:
            TimeoutError: When the other instance was silent for SILENCE_S.
        """
        async with asyncio.timeout(SILENCE_S) as silence:
            if not self.silences:
                self.children.start(self._renew_periodically())
            self.silences.add(silence)
            try:
                yield
            finally:
                self.silences.discard(silence)
                if not self.silences:
                    await self.children.stop()

    async def _renew_periodically(self) -> None:
        while True:
            await asyncio.sleep(run_leases.RENEWAL_PERIOD_S)
            self.children.start(self._renew_once())

    async def _renew_once(self) -> None:
        """Renew the lease; an instance that answers with an error is not silent."""
        sent_at = self.time.now()
        try:
            grant = await self.renew(self.view.newest_grant)
        except exceptions.GRPCError as error:
            self._log_failure(error)
        except (OSError, TimeoutError, exceptions.StreamTerminatedError) as error:
            self._log_failure(error)
            return
        else:
            self.view.record_grant(grant, sent_at=sent_at, now=self.time.now())
        for silence in self.silences:
            silence.reschedule(asyncio.get_running_loop().time() + SILENCE_S)

    def _log_failure(self, error: Exception) -> None:
        self.log.write(
            events.Event.LEASE_NOT_RENEWED, peer=self.instance, detail=type(error).__name__
        )
