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

DEMAND_DECAY_S = 2.0
DEMAND_MIN = 1.0
EVEN_SPLIT_WEIGHT = 0.1
# Time in which a pulse has reached every instance.
PROPAGATION_S = 0.5
SHARE_SMOOTHING_S = 0.7
# A share that moves by less, or sooner again, is not told in the log.
LOGGED_SHARE_STEP = 0.2
SHARE_LOG_INTERVAL_S = 2.0
RETRY_MIN_S = 0.05
RETRY_MAX_S = 2.0
# Parts of the burst and of the platform's tolerance that instances may be overdrawn by together.
OVERDRAFT_BURST_FRACTION = 0.5
OVERDRAFT_TOLERANCE_FRACTION = 0.6
# Part of what may be overdrawn in all from which a request counts as large.
LARGE_REQUEST_FRACTION = 0.1


class AccountMeter(records.Record):
    """What one account asks for and may use here.

    Attributes:
        limit: Rate and burst of the account over the whole fleet.
        tokens: Tokens that may be used now; below 0 when overdrawn.
        borrowed_tokens: Tokens that a large request took beyond this instance's part.
        demand: Tokens a second asked for, smoothed.
        sent_demands: Demand that was sent to the others and when, the oldest as old as what they
            go by.
        demand_began_at: When requests came after a calm, in monotonic seconds.
        share: Part of the rate that is this instance's.
        smoothed_share: The same, following more slowly: a large request moves the demand for a
            moment, and what was saved up must outlast that; and while others begin to ask at the
            same time, they are heard of only later.
        logged_share: Share that the log was told last.
        logged_at: When it was told, in monotonic seconds.
        updated_at: When the others were brought up to date, in monotonic seconds.
    """

    __slots__ = (
        "limit",
        "tokens",
        "borrowed_tokens",
        "demand",
        "sent_demands",
        "demand_began_at",
        "share",
        "smoothed_share",
        "logged_share",
        "logged_at",
        "updated_at",
    )

    def __init__(self, limit: rate.Rate, now: float) -> None:
        self.limit = limit
        self.tokens = 0.0
        self.borrowed_tokens = 0.0
        self.demand = 0.0
        self.sent_demands: collections.deque[tuple[float, float]] = collections.deque()
        self.demand_began_at = now
        self.share = 0.0
        self.smoothed_share = 0.0
        self.logged_share = 0.0
        self.logged_at = -math.inf
        self.updated_at = now


class RateShares:
    """Decides whether an account may use tokens here.

    Args:
        members: The fleet.
        started_at: Start of this instance, in monotonic seconds.
        window_s: Window in which the platform judges use, in seconds.
        overage: Part of a window's allowance that it tolerates beyond it.
        slack: Tokens that it tolerates beside that.
    """

    __slots__ = ("members", "started_at", "window_s", "overage", "slack", "meters", "outbox")

    def __init__(
        self,
        members: fleet.Fleet,
        *,
        started_at: float,
        window_s: float = 1.0,
        overage: float = 0.0,
        slack: float = 0.0,
    ) -> None:
        self.members = members
        self.started_at = started_at
        self.window_s = window_s
        self.overage = overage
        self.slack = slack
        self.meters: dict[str, AccountMeter] = {}
        self.outbox: list[commands.Command] = []

    def spend(self, limit: rate.Rate, tokens: float, now: float) -> float:
        """Take tokens.

        Returns:
            0 when they were there, else the seconds after which they may be.
        """
        meter = self._meter(limit, now)
        if meter.demand <= DEMAND_MIN:
            meter.demand_began_at = now
        meter.demand += tokens / DEMAND_DECAY_S
        missing_tokens = self._withdraw(meter, tokens, now)
        if missing_tokens <= 0:
            return 0.0
        tokens_per_s_here = max(1e-9, limit.tokens_per_s * meter.share)
        return min(RETRY_MAX_S, max(RETRY_MIN_S, missing_tokens / tokens_per_s_here))

    def available_tokens(self, account: str) -> float:
        """Return the tokens that an account has left here; below 0 it is overdrawn."""
        meter = self.meters.get(account)
        return meter.tokens - meter.borrowed_tokens if meter is not None else 0.0

    def refund(self, limit: rate.Rate, tokens: float, now: float) -> None:
        """Give back the tokens of a request that has not run."""
        meter = self._meter(limit, now)
        repaid_tokens = min(meter.borrowed_tokens, tokens)
        meter.borrowed_tokens -= repaid_tokens
        meter.tokens = min(
            meter.tokens + tokens - repaid_tokens, limit.burst_tokens * meter.smoothed_share
        )

    def demands(self, now: float) -> list[pulses.Demand]:
        """Return what each account asks for here, and bring those meters up to date."""
        demands = []
        for name, meter in self.meters.items():
            demand = meter.demand * math.exp(-(now - meter.updated_at) / DEMAND_DECAY_S)
            if demand > DEMAND_MIN or meter.tokens < 0 or meter.borrowed_tokens > 0:
                self._update(meter, now)
                _record_sent_demand(meter, now)
                self._log_share_change(meter, now)
                overdrawn = max(0.0, -meter.tokens) + meter.borrowed_tokens
                demands.append(pulses.Demand(name, tokens_per_s=meter.demand, overdrawn=overdrawn))
        return demands

    def region_demands(self, now: float) -> list[pulses.Demand]:
        """Return what each account asks for in this region, as far as is known."""
        totals: dict[str, pulses.Demand] = {}
        for demand in itertools.chain(self.demands(now), self.members.near_demands(now)):
            total = totals.get(demand.account)
            if total is None:
                total = pulses.Demand(demand.account, tokens_per_s=0.0, overdrawn=0.0)
                totals[demand.account] = total
            total.tokens_per_s += demand.tokens_per_s
            total.overdrawn += demand.overdrawn
        return list(totals.values())

    def _meter(self, limit: rate.Rate, now: float) -> AccountMeter:
        meter = self.meters.get(limit.name)
        if meter is None:
            # A new instance can't know what was used before it: it earns from its start on.
            meter = self.meters[limit.name] = AccountMeter(limit, self.started_at)
            meter.smoothed_share = 1.0 / self.members.count_recent(now)
        meter.limit = limit
        self._update(meter, now)
        return meter

    def _update(self, meter: AccountMeter, now: float) -> None:
        elapsed_s = max(0.0, now - meter.updated_at)
        meter.demand *= math.exp(-elapsed_s / DEMAND_DECAY_S)
        meter.share = self._compute_share(meter.limit.name, meter, now)
        smoothing = 1.0 - math.exp(-elapsed_s / SHARE_SMOOTHING_S)
        meter.smoothed_share += (meter.share - meter.smoothed_share) * smoothing
        earned_tokens = (
            elapsed_s * meter.limit.tokens_per_s * min(meter.share, meter.smoothed_share)
        )
        repaid_tokens = min(meter.borrowed_tokens, earned_tokens)
        meter.borrowed_tokens -= repaid_tokens
        meter.tokens = min(
            meter.tokens + earned_tokens - repaid_tokens,
            self._max_saved_tokens(meter.limit, meter, now),
        )
        meter.updated_at = now

    def _log_share_change(self, meter: AccountMeter, now: float) -> None:
        """Note a share that moved, now and then only."""
        has_moved = abs(meter.share - meter.logged_share) >= LOGGED_SHARE_STEP
        if not has_moved or now < meter.logged_at + SHARE_LOG_INTERVAL_S:
            return
        meter.logged_share = meter.share
        meter.logged_at = now
        log_event = commands.Note(
            events.Event.SHARE_CHANGED,
            account=meter.limit.name,
            share=round(meter.share, 3),
            demand=round(meter.demand),
            tokens=round(meter.tokens),
            instances=self.members.count_recent(now),
        )
        self.outbox.append(log_event)

    def _max_saved_tokens(self, limit: rate.Rate, meter: AccountMeter, now: float) -> float:
        """Return what may be saved up here.

        While others are overdrawn, those that aren't may save as much more together: the sum over
        all instances stays the same, and what comes in meanwhile is not lost.
        """
        reported = self.members.demands(limit.name, now, reachable_only=True)
        total_overdrawn = sum(demand.overdrawn for demand in reported)
        return (
            (1 - OVERDRAFT_BURST_FRACTION) * limit.burst_tokens + total_overdrawn
        ) * meter.smoothed_share

    def _withdraw(self, meter: AccountMeter, tokens: float, now: float) -> float:
        """Take tokens, overdrawn if need be; return 0, or how many are missing.

        What others have overdrawn, as far as it is known, is not there for this one. Beyond its own
        part it goes only for a large request, one at a time: of small ones many can come at all
        instances before they hear of each other.
        """
        limit = meter.limit
        window_allowance = limit.tokens_per_s * self.window_s + limit.burst_tokens
        tolerance = window_allowance * self.overage + self.slack
        overdraft_limit = (
            OVERDRAFT_BURST_FRACTION * limit.burst_tokens + OVERDRAFT_TOLERANCE_FRACTION * tolerance
        )
        overdrawn_elsewhere = sum(
            demand.overdrawn for demand in self.members.demands(limit.name, now)
        )
        overdraft_left = max(0.0, overdraft_limit - overdrawn_elsewhere - meter.borrowed_tokens)
        share = min(meter.share, meter.smoothed_share)
        if meter.tokens + min(overdraft_left, overdraft_limit * share) >= tokens:
            meter.tokens -= tokens
            return 0.0
        saved_tokens = max(0.0, meter.tokens)
        share_limit = (
            overdraft_limit + (1 - OVERDRAFT_BURST_FRACTION) * limit.burst_tokens
        ) * share
        is_large = tokens > min(share_limit, LARGE_REQUEST_FRACTION * overdraft_limit)
        if is_large and meter.borrowed_tokens <= 0 and meter.tokens + overdraft_left >= tokens:
            meter.borrowed_tokens = tokens - saved_tokens
            meter.tokens -= saved_tokens
            return 0.0
        return tokens - meter.tokens - min(overdraft_left, overdraft_limit * share)

    def _compute_share(self, account: str, meter: AccountMeter, now: float) -> float:
        even_share = 1.0 / self.members.count_recent(now)
        if now < meter.demand_began_at + PROPAGATION_S:
            # Others may have begun to ask as well, and can't be heard yet.
            return even_share
        # Shares add up to the whole when all are worked out from demands of the same moment.
        own_demand = meter.sent_demands[0][1] if meter.sent_demands else meter.demand
        other_demand = sum(demand.tokens_per_s for demand in self.members.demands(account, now))
        # One that was never heard may ask as much as this one.
        other_demand += own_demand * self.members.count_without_demand(now)
        return self._share_of_total(own_demand, other_demand + own_demand, now)

    def _share_of_total(self, demand: float, total_demand: float, now: float) -> float:
        even_share = 1.0 / self.members.count_recent(now)
        if total_demand <= 0:
            return even_share
        return EVEN_SPLIT_WEIGHT * even_share + (1 - EVEN_SPLIT_WEIGHT) * demand / total_demand


def _record_sent_demand(meter: AccountMeter, now: float) -> None:
    """Keep what the others were told, back to what every one of them has heard."""
    meter.sent_demands.append((now, meter.demand))
    while len(meter.sent_demands) > 1 and meter.sent_demands[1][0] <= now - PROPAGATION_S:
        meter.sent_demands.popleft()
