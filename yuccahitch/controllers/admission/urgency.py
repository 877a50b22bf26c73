"""Admits requests by priority while a service of the region is short of places.

Each instance decides alone, from the demand that all instances of the region report and from the
places that all of them see, so that they come to about the same level.
"""

from __future__ import annotations

import collections
import itertools
import math
import random

from yuccahitch.controllers.admission import (
    account_shares,
    arrivals,
    demand,
    levels,
    region_demand,
    returns,
    room,
    scope,
    service_admission,
    shortage,
    work_times,
)
from yuccahitch.controllers.config import published
from yuccahitch.controllers.placement import balance
from yuccahitch.messages import commands, pulses
from yuccahitch.resources import publication
from yuccahitch.resources import service as services

# Time between two decisions about a service that is short of places, and about others, in seconds.
SHORT_PERIOD_S = 0.1
CALM_PERIOD_S = 0.25
# Time between two searches for client accounts that send nothing, in seconds.
CLEANING_PERIOD_S = 2.0
# Bounds of the time after which refused callers may return, and by which they are spread, in
# seconds.
MIN_RETURN_S = 0.4
MAX_RETURN_S = 4.0
# Shortest time after which a caller with little time left may return, in seconds.
LEAST_RETURN_S = 0.05
# Part of the time that a request has left by which its caller may return at the latest.
MAX_RETURN_PART = 1 / 3


class UrgencyAdmission:
    """Decides which requests are admitted.

    Args:
        config: Holds the published configuration in force.
        balancer: Knows places and takers of each service.
        rng: Seeded source of random numbers.
        enabled: Whether requests are refused at all.

    Attributes:
        demand: What callers ask this instance for.
        reports: What the other instances of the region reported of that.
        work_times: How long requests work at upstreams.
        returns: Recognizes callers that return.
        states: Admission by the name of the service.
        ranked: Services that hold more than one priority, in the configuration ``ranked_in``.
        ranked_in: The configuration from which that was worked out.
        uses: Running requests and unread prompt tokens of other near instances, by upstream.
        uses_at: When these were summed up, in monotonic seconds.
        cleaned_at: When idle client accounts were last dropped, in monotonic seconds.
        outbox: Commands that wait for the next ``take_commands``.
    """

    __slots__ = (
        "config",
        "balancer",
        "rng",
        "enabled",
        "demand",
        "reports",
        "work_times",
        "returns",
        "states",
        "ranked",
        "ranked_in",
        "uses",
        "uses_at",
        "cleaned_at",
        "outbox",
    )

    def __init__(
        self,
        *,
        config: published.PublishedConfig,
        balancer: balance.Balancer,
        rng: random.Random,
        enabled: bool,
    ) -> None:
        self.config = config
        self.balancer = balancer
        self.rng = rng
        self.enabled = enabled
        self.demand = demand.DemandMeter()
        self.reports = region_demand.RegionDemand()
        self.work_times = work_times.WorkTimes()
        self.returns = returns.Returns()
        self.states: dict[str, service_admission.ServiceAdmission] = {}
        self.ranked: frozenset[str] = frozenset()
        self.ranked_in: publication.Publication | None = None
        self.uses: dict[str, tuple[int, int]] = {}
        self.uses_at = -math.inf
        self.cleaned_at = -math.inf
        self.outbox: list[commands.Command] = []

    def consider(self, arrival: arrivals.Arrival, now: float) -> arrivals.Refusal | None:
        """Count a request, and return why it is not admitted, or None if it is."""
        if not self._ranks(arrival.service.name):
            return None
        returned = self._count(arrival, now)
        state = self._state(arrival.service, now)
        if arrival.begun or state.gate.level.priority is None:
            return None
        if state.gate.passes(arrival.priority, arrival.account, returned=returned):
            return None
        return self._refuse(arrival, state, now)

    def record_work_time(self, service: services.Service, priority: int, duration_s: float) -> None:
        """Learn from a request that an upstream of this region served at the first attempt."""
        if self._ranks(service.name):
            self.work_times.record(service.name, priority, duration_s)

    def record_sent(self, service: services.Service, *, turned_away: bool, now: float) -> None:
        """Learn from a request that is over whether upstreams turned it away."""
        state = self.states.get(service.name)
        if state is not None and state.shortage.active:
            state.shortage.record_sent(turned_away=turned_away, now=now)

    def record_report(self, pulse: pulses.Pulse, now: float) -> None:
        """Record the demand that an instance of this region reports."""
        members = self.balancer.members
        if pulse.region == members.own.region and pulse.instance in members.members:
            self.reports.record_report(pulse, now)

    def report(self, now: float) -> list[pulses.UrgencyDemand]:
        """Return the demand that other instances of the region need to know.

        Services with enough room are left out.
        """
        wanted = [
            name
            for name, state in self.states.items()
            if state.shortage.active or state.shortage.occupancy >= shortage.NEARLY_FULL
        ]
        return self.demand.report(wanted, now)

    def tick(self, now: float) -> None:
        """Decide about each service with more than one priority; drop what is out of date."""
        if not self.enabled or not self.config.ready():
            return
        self._update_scope()
        self.reports.expire(now)
        if now >= self.cleaned_at + CLEANING_PERIOD_S:
            self.cleaned_at = now
            self.demand.forget_idle(now)
        for name in self.states.keys() - self.ranked:
            del self.states[name]
        for name in self.states.keys() & self.config.current.services.keys():
            self._state(self.config.current.services[name], now)

    def levels_by_service(self) -> dict[str, float]:
        """Return the priority up to which each short service admits, with its admitted share.

        Everything above priority 2 and 0.4 of it are 2.4; a service without a shortage is left
        out.
        """
        return {
            name: state.gate.level.priority + state.gate.level.share
            for name, state in self.states.items()
            if state.gate.level.priority is not None
        }

    def _ranks(self, service: str) -> bool:
        """Return whether requests of a service are admitted by priority."""
        if not self.enabled or not self.config.ready():
            return False
        self._update_scope()
        return service in self.ranked

    def _update_scope(self) -> None:
        if self.ranked_in is not self.config.current:
            self.ranked_in = self.config.current
            self.ranked = scope.ranked_services(self.config.current)

    def _count(self, arrival: arrivals.Arrival, now: float) -> bool:
        """Count a request in the demand, and return whether it returned after a refusal."""
        service, priority = arrival.service, arrival.priority
        default_s = self.balancer.estimates.work_time(service)
        work_s = self.work_times.work_s(service.name, priority, default_s)
        returned = self.returns.take(arrival.key, now)
        if returned:
            self.demand.record_returned(
                service.name, priority, account=arrival.account, work_s=work_s, now=now
            )
        else:
            self.demand.record_new(
                service.name,
                priority,
                account=arrival.account,
                work_s=work_s,
                movable=arrival.movable,
                now=now,
            )
        return returned

    def _state(self, service: services.Service, now: float) -> service_admission.ServiceAdmission:
        """Return the state of a service, decided anew if the last decision is too old."""
        if service.name not in self.states:
            self.states[service.name] = service_admission.ServiceAdmission(self.rng)
        state = self.states[service.name]
        is_full = state.shortage.active or state.shortage.occupancy >= shortage.NEARLY_FULL
        if now - state.decided_at >= (SHORT_PERIOD_S if is_full else CALM_PERIOD_S):
            state.decided_at = now
            self._decide(service, state, now)
        return state

    def _decide(
        self, service: services.Service, state: service_admission.ServiceAdmission, now: float
    ) -> None:
        """Decide the level of a service from the region's demand and room."""
        short = state.shortage
        short.observe(room.measure(self.balancer, service, self._uses(now), now), now)
        if not short.active and short.occupancy < shortage.NEARLY_FULL:
            short.changing_since = None
            self._set_level(service, state, levels.EVERYTHING, now)
            return
        work = self.reports.work_by_priority(service.name, now)
        work.update(collections.Counter(self.demand.work_by_priority(service.name, now)))
        work_per_s = sum(work.values())
        movable_per_s = work_per_s * self.demand.movable_part(service.name, now)
        elsewhere = room.free_elsewhere(self.balancer, service, now)
        room_per_s = short.places * short.correction(now) + min(elsewhere, movable_per_s)
        waiting_per_s = work_per_s * self.demand.returned_part(service.name, now)
        short.decide(work_per_s=work_per_s + waiting_per_s, room_per_s=room_per_s, now=now)
        state.work_by_priority = dict(work)
        state.room_per_s = room_per_s
        level = levels.EVERYTHING
        if short.active and len(work) > 1:
            level = levels.find_level(work, room_per_s)
        self._set_level(service, state, level, now)

    def _uses(self, now: float) -> dict[str, tuple[int, int]]:
        """Return the work of other near instances at each upstream, summed up once a period."""
        if now - self.uses_at >= SHORT_PERIOD_S:
            self.uses = self.balancer.members.near_uses(now)
            self.uses_at = now
        return self.uses

    def _set_level(
        self,
        service: services.Service,
        state: service_admission.ServiceAdmission,
        level: levels.AdmissionLevel,
        now: float,
    ) -> None:
        """Put a level in force, divided among client accounts, and log a change."""
        chances = {} if level.priority is None else self._chances(service.name, level, now)
        state.gate.set_level(level, chances)
        log_event = state.change_event(service.name, now)
        if log_event is not None:
            self.outbox.append(log_event)

    def _chances(
        self, service: str, level: levels.AdmissionLevel, now: float
    ) -> dict[str, levels.Chances]:
        """Return the chances of new and of returning requests of each client account."""
        meters = self.demand.accounts(service, level.priority)
        work = {name: meter.work.at(now) for name, meter in meters.items()}
        accounts = self.config.current.accounts
        weights = {name: accounts[name].weight for name in work if name in accounts}
        shares = account_shares.divide(work, weights, sum(work.values()) * level.share)
        return {
            name: levels.find_chances(
                share, returned_part=meters[name].returned.at(now) / work[name]
            )
            for name, share in shares.items()
        }

    def _refuse(
        self, arrival: arrivals.Arrival, state: service_admission.ServiceAdmission, now: float
    ) -> arrivals.Refusal:
        """Return the refusal of a request, and remember it in case it returns."""
        level = state.gate.level
        wait_s = self._return_s(arrival, state)
        self.returns.record_refusal(arrival.key, now + wait_s)
        admitted = f"{level.share:.2f} of priority {level.priority} and what is more urgent"
        detail = f"priority {arrival.priority}; the region is short of places and admits {admitted}"
        return arrivals.Refusal(level, retry_after_s=wait_s, detail=detail)

    def _return_s(
        self, arrival: arrivals.Arrival, state: service_admission.ServiceAdmission
    ) -> float:
        """Return when a refused caller may come back, in seconds.

        The crowd is spread over the time in which the work that was asked for before it, each
        second, can be done.
        """
        ahead = itertools.takewhile(
            lambda item: item[0] <= arrival.priority, sorted(state.work_by_priority.items())
        )
        load = sum(work for _, work in ahead) / max(state.room_per_s, 1e-9)
        latest_s = max(LEAST_RETURN_S, min(MAX_RETURN_S, arrival.left_s * MAX_RETURN_PART))
        first_s = min(MIN_RETURN_S, latest_s / 2)
        spread_s = min(MIN_RETURN_S * max(1.0, load), latest_s - first_s)
        return first_s + self.rng.random() * spread_s
