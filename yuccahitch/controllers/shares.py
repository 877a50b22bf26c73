"""Each instance's share of the client accounts' rates, by where the demand is.

No call is made: instances tell their demand in pulses, and each takes the part of rate and burst
that matches its part of the demand. What a silent instance last asked for counts for a while, so
that the shares of a partitioned fleet don't add up to more than the whole.
"""

from __future__ import annotations

import collections
import itertools
import math

from yuccahitch import events, records
from yuccahitch.controllers import fleet
from yuccahitch.messages import commands, pulses
from yuccahitch.resources import rate

DEMAND_MEMORY_S = 2.0
DEMAND_MIN = 1.0
EVEN_SHARE = 0.1
# Time in which a pulse has reached every instance.
HEARD_S = 0.5
SAVED_FOLLOWS_S = 0.7
# A share that moves by less, or sooner again, is not told in the log.
SHARE_STEP = 0.2
SHARE_NOTE_S = 2.0
RETRY_MIN_S = 0.05
RETRY_MAX_S = 2.0
# Parts of the burst and of the platform's tolerance that instances may be overdrawn by together.
OVERDRAWN_BURST = 0.5
OVERDRAWN_TOLERANCE = 0.6
# Part of what may be overdrawn in all from which a request counts as large.
LARGE_SHARE = 0.1


class Meter(records.Record):
    """What one account asks for and may use here.

    Attributes:
        limit: Rate and burst of the account over the whole fleet.
        tokens: Tokens that may be used now; below 0 when overdrawn.
        loan: Tokens that a large request took beyond this instance's part.
        demand: Tokens a second asked for, smoothed.
        told: Demand that the others were told and when, the oldest as old as what they go by.
        asked_at: When requests came after a calm, in monotonic seconds.
        share: Part of the rate that is this instance's.
        saved_share: The same, following more slowly: a large request moves the demand for a
            moment, and what was saved up must outlast that; and while others begin to ask at the
            same time, they are heard of only later.
        noted_share: Share that the log was told last.
        noted_at: When it was told, in monotonic seconds.
        updated_at: When the others were brought up to date, in monotonic seconds.
    """

    __slots__ = (
        "limit",
        "tokens",
        "loan",
        "demand",
        "told",
        "asked_at",
        "share",
        "saved_share",
        "noted_share",
        "noted_at",
        "updated_at",
    )

    def __init__(self, limit: rate.Rate, now: float) -> None:
        self.limit = limit
        self.tokens = 0.0
        self.loan = 0.0
        self.demand = 0.0
        self.told: collections.deque[tuple[float, float]] = collections.deque()
        self.asked_at = now
        self.share = 0.0
        self.saved_share = 0.0
        self.noted_share = 0.0
        self.noted_at = -math.inf
        self.updated_at = now


class Shares:
    """Decides whether an account may use tokens here.

    Args:
        members: The fleet.
        began: Start of this instance, in monotonic seconds.
        window_s: Window in which the platform judges use, in seconds.
        overage: Part of a window's allowance that it tolerates beyond it.
        slack: Tokens that it tolerates beside that.
    """

    __slots__ = ("members", "began", "window_s", "overage", "slack", "meters", "outbox")

    def __init__(
        self,
        members: fleet.Fleet,
        *,
        began: float,
        window_s: float = 1.0,
        overage: float = 0.0,
        slack: float = 0.0,
    ) -> None:
        self.members = members
        self.began = began
        self.window_s = window_s
        self.overage = overage
        self.slack = slack
        self.meters: dict[str, Meter] = {}
        self.outbox: list[commands.Command] = []

    def spend(self, limit: rate.Rate, tokens: float, now: float) -> float:
        """Take tokens.

        Returns:
            0 when they were there, else the seconds after which they may be.
        """
        meter = self._meter(limit, now)
        if meter.demand <= DEMAND_MIN:
            meter.asked_at = now
        meter.demand += tokens / DEMAND_MEMORY_S
        missing = self._take(meter, tokens, now)
        if missing <= 0:
            return 0.0
        pace = max(1e-9, limit.tokens_per_s * meter.share)
        return min(RETRY_MAX_S, max(RETRY_MIN_S, missing / pace))

    def left(self, account: str) -> float:
        """Return the tokens that an account has left here; below 0 it is overdrawn."""
        meter = self.meters.get(account)
        return meter.tokens - meter.loan if meter is not None else 0.0

    def refund(self, limit: rate.Rate, tokens: float, now: float) -> None:
        """Give back the tokens of a request that has not run."""
        meter = self._meter(limit, now)
        repaid = min(meter.loan, tokens)
        meter.loan -= repaid
        meter.tokens = min(meter.tokens + tokens - repaid, limit.burst_tokens * meter.saved_share)

    def demands(self, now: float) -> list[pulses.AccountDemand]:
        """Return what each account asks for here, and bring those meters up to date."""
        told = []
        for name, meter in self.meters.items():
            demand = meter.demand * math.exp(-(now - meter.updated_at) / DEMAND_MEMORY_S)
            if demand > DEMAND_MIN or meter.tokens < 0 or meter.loan > 0:
                self._update(meter, now)
                _note_told(meter, now)
                self._tell_share(meter, now)
                overdrawn = max(0.0, -meter.tokens) + meter.loan
                told.append(
                    pulses.AccountDemand(name, tokens_per_s=meter.demand, overdrawn=overdrawn)
                )
        return told

    def region_demands(self, now: float) -> list[pulses.AccountDemand]:
        """Return what each account asks for in this region, as far as is known."""
        totals: dict[str, pulses.AccountDemand] = {}
        for demand in itertools.chain(self.demands(now), self.members.near_demands(now)):
            known = totals.get(demand.account)
            if known is None:
                known = pulses.AccountDemand(demand.account, tokens_per_s=0.0, overdrawn=0.0)
                totals[demand.account] = known
            known.tokens_per_s += demand.tokens_per_s
            known.overdrawn += demand.overdrawn
        return list(totals.values())

    def _meter(self, limit: rate.Rate, now: float) -> Meter:
        meter = self.meters.get(limit.name)
        if meter is None:
            # A new instance can't know what was used before it: it earns from its start on.
            meter = self.meters[limit.name] = Meter(limit, self.began)
            meter.saved_share = 1.0 / self.members.count(now)
        meter.limit = limit
        self._update(meter, now)
        return meter

    def _update(self, meter: Meter, now: float) -> None:
        passed = max(0.0, now - meter.updated_at)
        meter.demand *= math.exp(-passed / DEMAND_MEMORY_S)
        meter.share = self._share(meter.limit.name, meter, now)
        followed = 1.0 - math.exp(-passed / SAVED_FOLLOWS_S)
        meter.saved_share += (meter.share - meter.saved_share) * followed
        earned = passed * meter.limit.tokens_per_s * min(meter.share, meter.saved_share)
        repaid = min(meter.loan, earned)
        meter.loan -= repaid
        meter.tokens = min(meter.tokens + earned - repaid, self._kept(meter.limit, meter, now))
        meter.updated_at = now

    def _tell_share(self, meter: Meter, now: float) -> None:
        """Note a share that moved, now and then only."""
        moved = abs(meter.share - meter.noted_share) >= SHARE_STEP
        if not moved or now < meter.noted_at + SHARE_NOTE_S:
            return
        meter.noted_share = meter.share
        meter.noted_at = now
        note = commands.LogEvent(
            events.Event.SHARE_CHANGED,
            account=meter.limit.name,
            share=round(meter.share, 3),
            demand=round(meter.demand),
            tokens=round(meter.tokens),
            instances=self.members.count(now),
        )
        self.outbox.append(note)

    def _kept(self, limit: rate.Rate, meter: Meter, now: float) -> float:
        """Return what may be saved up here.

        While others are overdrawn, those that aren't may save as much more together: the sum over
        all instances stays the same, and what comes in meanwhile is not lost.
        """
        told = self.members.demands(limit.name, now, alive=True)
        owed = sum(demand.overdrawn for demand in told)
        return ((1 - OVERDRAWN_BURST) * limit.burst_tokens + owed) * meter.saved_share

    def _take(self, meter: Meter, tokens: float, now: float) -> float:
        """Take tokens, overdrawn if need be; return 0, or how many are missing.

        What others have overdrawn, as far as it is known, is not there for this one. Beyond its own
        part it goes only for a large request, one at a time: of small ones many can come at all
        instances before they hear of each other.
        """
        limit = meter.limit
        allowance = limit.tokens_per_s * self.window_s + limit.burst_tokens
        tolerance = allowance * self.overage + self.slack
        whole = OVERDRAWN_BURST * limit.burst_tokens + OVERDRAWN_TOLERANCE * tolerance
        taken = sum(demand.overdrawn for demand in self.members.demands(limit.name, now))
        left = max(0.0, whole - taken - meter.loan)
        share = min(meter.share, meter.saved_share)
        if meter.tokens + min(left, whole * share) >= tokens:
            meter.tokens -= tokens
            return 0.0
        saved = max(0.0, meter.tokens)
        holds = (whole + (1 - OVERDRAWN_BURST) * limit.burst_tokens) * share
        large = tokens > min(holds, LARGE_SHARE * whole)
        if large and meter.loan <= 0 and meter.tokens + left >= tokens:
            meter.loan = tokens - saved
            meter.tokens -= saved
            return 0.0
        return tokens - meter.tokens - min(left, whole * share)

    def _share(self, account: str, meter: Meter, now: float) -> float:
        even = 1.0 / self.members.count(now)
        if now < meter.asked_at + HEARD_S:
            # Others may have begun to ask as well, and can't be heard yet.
            return even
        # Shares add up to the whole when all are worked out from demands of the same moment.
        own = meter.told[0][1] if meter.told else meter.demand
        others = sum(demand.tokens_per_s for demand in self.members.demands(account, now))
        # One that was never heard may ask as much as this one.
        others += own * self.members.unheard(now)
        return self._part(own, others + own, now)

    def _part(self, demand: float, total: float, now: float) -> float:
        even = 1.0 / self.members.count(now)
        if total <= 0:
            return even
        return EVEN_SHARE * even + (1 - EVEN_SHARE) * demand / total


def _note_told(meter: Meter, now: float) -> None:
    """Keep what the others were told, back to what every one of them has heard."""
    meter.told.append((now, meter.demand))
    while len(meter.told) > 1 and meter.told[1][0] <= now - HEARD_S:
        meter.told.popleft()
