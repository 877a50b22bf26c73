"""Decides how many parts of a client account's rate each instance is to own."""

from __future__ import annotations

import typing

from yuccahitch.controllers.config import configuration
from yuccahitch.controllers.members import membership, rendezvous
from yuccahitch.controllers.rates import _holding, limits, slice_record

PARTS_PER_RATE = _holding.PARTS_PER_RATE
MIN_KEPT_PARTS = 20_000  # parts that rebalancing leaves to a holder
MAX_MOVED_FRACTION = 0.5  # of the spare parts, in one rebalancing
MIN_MOVED_PARTS = 10_000  # fewer parts are not worth a move
MIN_BORROWED_FRACTION = 0.1  # of the demand; less borrowing moves no parts


class SliceDivision:
    """Chooses the holders of parts, and what a holder gives to others.

    Args:
        members: The live instances.
        config: Holds the catalog.
        rebalance_s: Time between rebalancings, in seconds.
    """

    __slots__ = ("members", "config", "rebalance_s")

    def __init__(
        self,
        *,
        members: membership.Membership,
        config: configuration.Configuration,
        rebalance_s: float,
    ) -> None:
        self.members = members
        self.config = config
        self.rebalance_s = rebalance_s

    def initial_parts(self, account: str) -> dict[str, int]:
        """Divide a new account's parts evenly between its first holders; return them by id."""
        account_spec = self.config.catalog.account(account)
        infos = self.members.serving()
        allowed = account_spec.residency if account_spec is not None else ()
        regions = sorted({info.region for info in infos if not allowed or info.region in allowed})
        names = [
            name for region in regions for name in limits.initial_holders(account, infos, region)
        ]
        if not names:
            return {}
        parts_each, rest = divmod(PARTS_PER_RATE, len(names))
        return {name: parts_each + (rest if name == names[0] else 0) for name in names}

    def successors(self, account: str) -> list[str]:
        """Return the instances that may inherit the own parts, the most suitable first."""
        own = self.members.own
        infos = [info for info in self.members.serving() if info.instance != own.instance]
        same_region = [info.instance for info in infos if info.region == own.region]
        other_regions = [info.instance for info in infos if info.region != own.region]
        return rendezvous.ranked(account, same_region) + rendezvous.ranked(account, other_regions)

    def has_spare_parts(self, holding: _holding.Holding) -> bool:
        """Return whether rebalancing may take parts from a holding."""
        return holding.unlent_parts() > MIN_KEPT_PARTS

    def parts_for_demand(
        self, holding: _holding.Holding, requested_by_peer: dict[str, float], now: float
    ) -> dict[str, int]:
        """Return the parts to move to live peers, in proportion to what they asked to borrow."""
        live_requests = {
            name: n for name, n in requested_by_peer.items() if self.members.find(name) is not None
        }
        borrowed = sum(live_requests.values())
        own_demand = holding.demand_rate(now) * self.rebalance_s
        if borrowed <= 0 or borrowed < MIN_BORROWED_FRACTION * (borrowed + own_demand):
            return {}
        spare = holding.unlent_parts() - MIN_KEPT_PARTS
        parts = int(spare * MAX_MOVED_FRACTION * borrowed / (borrowed + own_demand))
        new_parts = {name: int(parts * tokens / borrowed) for name, tokens in live_requests.items()}
        return {name: n for name, n in new_parts.items() if n >= MIN_MOVED_PARTS}

    def parts_for_regions(
        self, holding: _holding.Holding, record: slice_record.Record | None
    ) -> dict[str, int]:
        """Return parts for regions without a holder, which would have none if they were cut off.

        Only the holder with the most parts gives some away for this.

        Args:
            holding: What this instance holds of the account's rate.
            record: The known record of the account, or None.
        """
        own_id = self.members.own.instance
        if record is None or max(record.holders, key=_by_parts(record)) != own_id:
            return {}
        account_spec = self.config.catalog.account(holding.account)
        allowed = account_spec.residency if account_spec is not None else ()
        infos = self.members.serving()
        regions = {info.region for info in infos if not allowed or info.region in allowed}
        held = {info.region for info in map(self.members.find, record.holders) if info is not None}
        missing = sorted(regions - held)
        parts_each = holding.unlent_parts() // (len(regions) + 1)
        return {
            limits.initial_holders(holding.account, infos, region)[0]: parts_each
            for region in missing
            if parts_each >= MIN_MOVED_PARTS
        }


def _by_parts(record: slice_record.Record) -> typing.Callable[[str], tuple[int, str]]:
    return lambda name: (record.holders[name], name)
