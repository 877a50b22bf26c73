"""Leases of requests that one instance forwards and another runs.

A request that may be repeated runs under a lease, so that the instance that forwarded it knows when
its run has surely ended, although it can't reach the other one. Each reply to a renewal grants a
lease from the time at which the reply was made, which the next renewal returns. Only durations on
one clock are compared: the lease ends LEASE_S after the grant was made, so at the latest LEASE_S
after it was received.
"""

from __future__ import annotations

import math

# Time after a grant for which a run may go on, in seconds.
LEASE_S = 1.5
# Time between two renewals, in seconds.
RENEWAL_PERIOD_S = 0.3
# Covers clocks of different speed, and the time that a run takes to end, in seconds.
END_MARGIN_S = 0.2
# Time for which the end of a run is remembered that may still arrive, in seconds.
ENDED_MEMORY_S = 10.0


class RunLeases:
    """The leases that this instance grants to those that forward requests to it.

    Attributes:
        renewed_at: When the newest grant that each instance returned was made, by instance, in
            monotonic seconds.
        ended: When the end of a run was asked for, by instance, request and attempt.
    """

    __slots__ = ("renewed_at", "ended")

    def __init__(self) -> None:
        self.renewed_at: dict[str, float] = {}
        self.ended: dict[tuple[str, str, int], float] = {}

    def renew(self, sender: str, granted_at: float, now: float) -> float:
        """Renew the lease of an instance from a grant that it returns.

        Args:
            sender: Id of the instance.
            granted_at: When the grant was made; 0 if it has none.
            now: Monotonic seconds.

        Returns:
            The time of the new grant.
        """
        if granted_at <= now:
            self.renewed_at[sender] = max(self.renewed_at.get(sender, -math.inf), granted_at)
        return now

    def ends_at(self, sender: str, received_at: float) -> float:
        """Return when a run ends unless its lease is renewed, in monotonic seconds.

        Args:
            sender: Id of the instance that forwarded the request.
            received_at: When the request arrived, in monotonic seconds.
        """
        return max(received_at, self.renewed_at.get(sender, -math.inf)) + LEASE_S

    def record_end(self, sender: str, request_id: str, attempt: int, now: float) -> None:
        """Record that an attempt must not run, whether it has arrived or not."""
        self.ended[sender, request_id, attempt] = now
        expired = [key for key, ended_at in self.ended.items() if now - ended_at > ENDED_MEMORY_S]
        for key in expired:
            del self.ended[key]

    def has_ended(self, sender: str, request_id: str, attempt: int) -> bool:
        """Return whether the end of an attempt was asked for."""
        return (sender, request_id, attempt) in self.ended

    def forget_idle(self, now: float) -> None:
        """Forget the instances whose leases ended long ago."""
        idle = [name for name, at in self.renewed_at.items() if now - at > ENDED_MEMORY_S]
        for name in idle:
            del self.renewed_at[name]


class LeaseView:
    """What the instance that forwards requests knows of its lease at another one.

    Attributes:
        newest_grant: Time of the newest grant, on the clock of the instance that made it.
        renewal_sent_at: When the renewal was sent whose reply came last, in monotonic seconds.
        granted_at: When that reply came, in monotonic seconds.
    """

    __slots__ = ("newest_grant", "renewal_sent_at", "granted_at")

    def __init__(self) -> None:
        self.newest_grant = 0.0
        self.renewal_sent_at = -math.inf
        self.granted_at = -math.inf

    def record_grant(self, grant: float, *, sent_at: float, now: float) -> None:
        """Record the reply to a renewal.

        Args:
            grant: Time of the grant.
            sent_at: When the renewal was sent, in monotonic seconds.
            now: Monotonic seconds.
        """
        self.newest_grant = max(self.newest_grant, grant)
        self.renewal_sent_at = max(self.renewal_sent_at, sent_at)
        self.granted_at = now

    def surely_ended_at(self, request_sent_at: float, closed_at: float) -> float:
        """Return when a run has surely ended whose instance can't be reached.

        Args:
            request_sent_at: When the request had been sent, in monotonic seconds.
            closed_at: When its connection was closed, in monotonic seconds.
        """
        # Without a grant for a later renewal, the request may have arrived when the connection
        # was closed.
        is_covered = self.renewal_sent_at >= request_sent_at
        return (self.granted_at if is_covered else closed_at) + LEASE_S + END_MARGIN_S
