"""Each instance's share of the client accounts' rates, in proportion to the demand there.

Instances make no calls for this: they report their demand in pulses, and each uses the fraction of
rate and burst that matches its fraction of the demand. The last reported demand of an unreachable
instance counts on for a while, so that the shares in a partitioned fleet don't add up to more than
the whole.
"""

from __future__ import annotations

import collections
import itertools
import math

from yuccahitch import events, records
from yuccahitch.controllers.members import fleet
from yuccahitch.messages import commands, pulses
from yuccahitch.resources import rate

# Time constant of the exponential decay of demand, in seconds.
DEMAND_DECAY_S = 2.0
# Demand up to which an account counts as idle here, in tokens a second.
DEMAND_MIN = 1.0
# Fraction of a rate that is split evenly; the rest follows the demand.
EVEN_SPLIT_WEIGHT = 0.1
# Time in which a pulse has reached every instance, in seconds.
PROPAGATION_S = 0.5
# Time constant with which smoothed_share follows share, in seconds.
SHARE_SMOOTHING_S = 0.7
# A share is logged when it has changed by this much since it was last logged, at most once in the
# interval in seconds.
LOGGED_SHARE_STEP = 0.2
SHARE_LOG_INTERVAL_S = 2.0
# Bounds of the Retry-After of a refusal, in seconds.
RETRY_MIN_S = 0.05
RETRY_MAX_S = 2.0
# Fractions of the burst and of the platform's tolerance by which all instances together may be
# overdrawn.
OVERDRAFT_BURST_FRACTION = 0.5
OVERDRAFT_TOLERANCE_FRACTION = 0.6
# Fraction of that overdraft from which a request counts as large.
LARGE_REQUEST_FRACTION = 0.1


class AccountMeter(records.Record):
    """The demand for one client account at this instance, and the tokens that it may use here.

    Attributes:
        limit: Rate and burst of the account over the whole fleet.
        tokens: Tokens that may be used now; below 0 when overdrawn.
        borrowed_tokens: Tokens beyond this instance's share that a large request took and that
            earned tokens have not repaid yet.
        demand: Requested tokens a second, with exponential decay.
        sent_demands: Times and demands of the pulses sent so far, in monotonic seconds and tokens a
            second. The oldest is the newest one that every other instance has received.
        demand_began_at: When a request last arrived while the account was idle here, in monotonic
            seconds.
        share: This instance's fraction of the account's rate, from 0 to 1.
        smoothed_share: A moving average of share. A large request raises the demand only for a
            moment, and saved tokens must outlast that; and when other instances get demand at the
            same time, their reports arrive only later.
        logged_share: The share that was logged last.
        logged_at: When it was logged, in monotonic seconds.
        updated_at: When tokens, demand and shares were last updated, in monotonic seconds.
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
    """Decides whether client accounts may use tokens at this instance.

    Args:
        members: The fleet.
        started_at: Start of this instance, in monotonic seconds.
        window_s: Window over which the platform measures the use of a rate, in seconds.
        overage: Fraction of a window's allowance by which the platform tolerates more use.
        slack: Tokens that the platform tolerates on top of that.

    Attributes:
        meters: Meters by the name of the client account.
        outbox: Commands that wait for the next ``take_commands``.
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
        """Take the tokens of a request from an account's share, if they are available.

        Args:
            limit: Rate and burst of the account over the whole fleet.
            tokens: Tokens that the request needs.
            now: Monotonic seconds.

        Returns:
            0 if the tokens were taken, else the seconds after which they may be available.
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
        """Return the tokens that an account has left here; a negative number is overdrawn."""
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

    def demands(self, now: float) -> list[pulses.AccountDemand]:
        """Return the demand for each account that is active here, and update those meters."""
        own_demands = []
        for name, meter in self.meters.items():
            demand = meter.demand * math.exp(-(now - meter.updated_at) / DEMAND_DECAY_S)
            if demand > DEMAND_MIN or meter.tokens < 0 or meter.borrowed_tokens > 0:
                self._update(meter, now)
                _record_sent_demand(meter, now)
                self._log_share_change(meter, now)
                overdrawn = max(0.0, -meter.tokens) + meter.borrowed_tokens
                own_demands.append(
                    pulses.AccountDemand(name, tokens_per_s=meter.demand, overdrawn=overdrawn)
                )
        return own_demands

    def region_demands(self, now: float) -> list[pulses.AccountDemand]:
        """Return the demand for each account in this region, as far as it is reported."""
        totals: dict[str, pulses.AccountDemand] = {}
        for demand in itertools.chain(self.demands(now), self.members.near_demands(now)):
            total = totals.get(demand.account)
            if total is None:
                total = pulses.AccountDemand(demand.account, tokens_per_s=0.0, overdrawn=0.0)
                totals[demand.account] = total
            total.tokens_per_s += demand.tokens_per_s
            total.overdrawn += demand.overdrawn
        return list(totals.values())

    def _meter(self, limit: rate.Rate, now: float) -> AccountMeter:
        """Return the updated meter of an account; a new one if there is none."""
        meter = self.meters.get(limit.name)
        if meter is None:
            # A new instance can't know what was used before its start, so it earns from then on.
            meter = self.meters[limit.name] = AccountMeter(limit, self.started_at)
            meter.smoothed_share = 1.0 / self.members.count_recent(now)
        meter.limit = limit
        self._update(meter, now)
        return meter

    def _update(self, meter: AccountMeter, now: float) -> None:
        """Let the demand decay, recompute the shares, and add the tokens earned since."""
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
        """Log a share that has changed by LOGGED_SHARE_STEP, at most once in the interval."""
        has_moved = abs(meter.share - meter.logged_share) >= LOGGED_SHARE_STEP
        if not has_moved or now < meter.logged_at + SHARE_LOG_INTERVAL_S:
            return
        meter.logged_share = meter.share
        meter.logged_at = now
        log_event = commands.LogEvent(
            events.Event.SHARE_CHANGED,
            account=meter.limit.name,
            share=round(meter.share, 3),
            demand=round(meter.demand),
            tokens=round(meter.tokens),
            instances=self.members.count_recent(now),
        )
        self.outbox.append(log_event)

    def _max_saved_tokens(self, limit: rate.Rate, meter: AccountMeter, now: float) -> float:
        """Return the most tokens that may be saved up here.

        While other instances are overdrawn, the rest may save that much more together: the sum over
        all instances stays the same, and tokens earned meanwhile are not lost.
        """
        reported = self.members.demands(limit.name, now, reachable_only=True)
        total_overdrawn = sum(demand.overdrawn for demand in reported)
        return (
            (1 - OVERDRAFT_BURST_FRACTION) * limit.burst_tokens + total_overdrawn
        ) * meter.smoothed_share

    def _withdraw(self, meter: AccountMeter, tokens: float, now: float) -> float:
        """Take tokens, overdrawing the meter if needed; return 0, or the number that is missing.

        The reported overdrafts of other instances reduce the overdraft left for this one. An
        instance exceeds its own share only for a large request, one at a time: many small ones can
        arrive at all instances before the instances receive each other's reports.
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
        """Return this instance's share of an account's rate, from the known demands."""
        even_share = 1.0 / self.members.count_recent(now)
        if now < meter.demand_began_at + PROPAGATION_S:
            # Demand may have begun elsewhere too, and those reports have not arrived yet.
            return even_share
        # The shares add up to the whole if all instances compute them from the same demands, so
        # this one uses the demand that the others know.
        own_demand = meter.sent_demands[0][1] if meter.sent_demands else meter.demand
        other_demand = sum(demand.tokens_per_s for demand in self.members.demands(account, now))
        # An instance that has not reported its demand may have as much as this one.
        other_demand += own_demand * self.members.count_without_demand(now)
        return self._share_of_total(own_demand, other_demand + own_demand, now)

    def _share_of_total(self, demand: float, total_demand: float, now: float) -> float:
        """Return the share of an instance with some of the total demand, in tokens a second."""
        even_share = 1.0 / self.members.count_recent(now)
        if total_demand <= 0:
            return even_share
        return EVEN_SPLIT_WEIGHT * even_share + (1 - EVEN_SPLIT_WEIGHT) * demand / total_demand


def _record_sent_demand(meter: AccountMeter, now: float) -> None:
    """Append the demand that is being sent; keep the newest that every instance has received."""
    meter.sent_demands.append((now, meter.demand))
    while len(meter.sent_demands) > 1 and meter.sent_demands[1][0] <= now - PROPAGATION_S:
        meter.sent_demands.popleft()
