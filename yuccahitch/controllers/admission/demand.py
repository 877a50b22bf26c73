"""Meters what callers ask this instance for, by service and priority."""

from __future__ import annotations

import itertools
import math
import typing

from yuccahitch.messages import pulses

# Time constant of the exponential decay of demand, in seconds.
DECAY_S = 0.8
# Demand below which a priority counts as not in use, in requests a second.
MIN_REQUESTS_PER_S = 0.05
# Time after its last request for which a client account is metered, in seconds.
ACCOUNT_IDLE_S = 8.0


class DecayingRate:
    """A rate with exponential decay.

    Args:
        now: Monotonic seconds.
        decay_s: Time constant of the decay, in seconds.

    Attributes:
        per_s: The rate, per second, when it was last updated.
        updated_at: When that was, in monotonic seconds.
    """

    __slots__ = ("decay_s", "per_s", "updated_at")

    def __init__(self, now: float, *, decay_s: float = DECAY_S) -> None:
        self.decay_s = decay_s
        self.per_s = 0.0
        self.updated_at = now

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self.per_s = self.at(now) + amount / self.decay_s
        self.updated_at = now

    def at(self, now: float) -> float:
        """Return the rate, per second."""
        return self.per_s * math.exp(-max(0.0, now - self.updated_at) / self.decay_s)


class AccountMeter:
    """The demand of a client account for a service at one priority.

    Attributes:
        work: Time at upstreams that its new requests need, in seconds a second.
        returned: The same of its requests that returned after a refusal.
    """

    __slots__ = ("work", "returned")

    def __init__(self, now: float) -> None:
        self.work = DecayingRate(now)
        self.returned = DecayingRate(now)


class PriorityMeter:
    """The demand for a service at one priority.

    Attributes:
        requests: New requests.
        work: Time at upstreams that they need, in seconds a second.
        movable: The part of that work which other regions may do.
        accounts: Demand by client account.
    """

    __slots__ = ("requests", "work", "movable", "accounts")

    def __init__(self, now: float) -> None:
        self.requests = DecayingRate(now)
        self.work = DecayingRate(now)
        self.movable = DecayingRate(now)
        self.accounts: dict[str, AccountMeter] = {}

    def account(self, name: str, now: float) -> AccountMeter:
        """Return the meter of a client account; a new one if there is none."""
        if name not in self.accounts:
            self.accounts[name] = AccountMeter(now)
        return self.accounts[name]

    def forget_idle(self, now: float) -> None:
        """Drop the meters of client accounts that send nothing."""
        self.accounts = {
            name: meter
            for name, meter in self.accounts.items()
            if now - max(meter.work.updated_at, meter.returned.updated_at) < ACCOUNT_IDLE_S
        }


class DemandMeter:
    """Meters the requests of callers, refused ones included.

    Attributes:
        meters: Meters by service and priority.
    """

    __slots__ = ("meters",)

    def __init__(self) -> None:
        self.meters: dict[str, dict[int, PriorityMeter]] = {}

    def record_new(
        self,
        service: str,
        priority: int,
        *,
        account: str,
        work_s: float,
        movable: bool,
        now: float,
    ) -> None:
        """Count a request that was not refused here before.

        Args:
            service: Name of the service.
            priority: Priority of the request.
            account: Name of its client account.
            work_s: Time that it needs at an upstream, in seconds.
            movable: Whether another region may serve it.
            now: Monotonic seconds.
        """
        meter = self._meter(service, priority, now)
        meter.requests.add(1.0, now)
        meter.work.add(work_s, now)
        meter.account(account, now).work.add(work_s, now)
        if movable:
            meter.movable.add(work_s, now)

    def record_returned(
        self, service: str, priority: int, *, account: str, work_s: float, now: float
    ) -> None:
        """Count a request that returned after a refusal; its demand is counted already."""
        self._meter(service, priority, now).account(account, now).returned.add(work_s, now)

    def forget_idle(self, now: float) -> None:
        """Drop the meters of client accounts that send nothing."""
        for by_priority in self.meters.values():
            for meter in by_priority.values():
                meter.forget_idle(now)

    def report(self, services: typing.Iterable[str], now: float) -> list[pulses.UrgencyDemand]:
        """Return the demand for some services, for the other instances of the region."""
        return [
            pulses.UrgencyDemand(
                service,
                priority=priority,
                requests_per_s=meter.requests.at(now),
                work_per_s=meter.work.at(now),
            )
            for service in services
            for priority, meter in self.meters.get(service, {}).items()
            if meter.requests.at(now) >= MIN_REQUESTS_PER_S
        ]

    def work_by_priority(self, service: str, now: float) -> dict[int, float]:
        """Return the work that callers ask for here, in seconds a second, by priority."""
        return {
            priority: meter.work.at(now)
            for priority, meter in self.meters.get(service, {}).items()
            if meter.requests.at(now) >= MIN_REQUESTS_PER_S
        }

    def accounts(self, service: str, priority: int) -> dict[str, AccountMeter]:
        """Return the meters of the client accounts that use a service at a priority."""
        meter = self.meters.get(service, {}).get(priority)
        return meter.accounts if meter is not None else {}

    def movable_part(self, service: str, now: float) -> float:
        """Return the part of a service's demand that other regions may serve."""
        found = self.meters.get(service, {}).values()
        work_per_s = sum(meter.work.at(now) for meter in found)
        movable_per_s = sum(meter.movable.at(now) for meter in found)
        return movable_per_s / work_per_s if work_per_s > 0 else 0.0

    def returned_part(self, service: str, now: float) -> float:
        """Return the work of returning requests as a part of the work of new ones."""
        found = self.meters.get(service, {}).values()
        work_per_s = sum(meter.work.at(now) for meter in found)
        accounts = itertools.chain.from_iterable(meter.accounts.values() for meter in found)
        returned_per_s = sum(account.returned.at(now) for account in accounts)
        return returned_per_s / work_per_s if work_per_s > 0 else 0.0

    def _meter(self, service: str, priority: int, now: float) -> PriorityMeter:
        by_priority = self.meters.setdefault(service, {})
        if priority not in by_priority:
            by_priority[priority] = PriorityMeter(now)
        return by_priority[priority]
