"""What this instance knows of the holders of slices, and whether they know of it themselves."""

from __future__ import annotations

import collections

from yuccahitch.controllers.rates import session

# Time after which all holders of a new record are taken to know their slices, in seconds.
NEW_SLICES_GRACE_S = 2.0


class SliceKnowledge:
    """Decides whether enough is known of an account's slices to say that its rate is exceeded.

    Args:
        instance: Id of this instance.
        store_session: Decides whether the own slices may be spent.

    Attributes:
        holders: Instance ids of each account's holders, by account, once they are known.
        holders_known_since: When an account's holders became known, in monotonic seconds.
        informed_holders: Instance ids of the lenders that know an account's record, by account.
        first_wait_at: When a request first waited for tokens of an account, in monotonic seconds.
        own_slices_read: Whether the own slices were read under the present session.
    """

    __slots__ = (
        "instance",
        "store_session",
        "holders",
        "holders_known_since",
        "informed_holders",
        "first_wait_at",
        "own_slices_read",
    )

    def __init__(self, instance: str, store_session: session.Session) -> None:
        self.instance = instance
        self.store_session = store_session
        self.holders: dict[str, tuple[str, ...]] = {}
        self.holders_known_since: dict[str, float] = {}
        self.informed_holders: dict[str, set[str]] = collections.defaultdict(set)
        self.first_wait_at: dict[str, float] = {}
        self.own_slices_read = False

    def record_holders(self, account: str, holders: tuple[str, ...], now: float) -> bool:
        """Record the holders of an account; return whether none were known before."""
        is_first = account not in self.holders
        self.holders[account] = holders
        self.holders_known_since.setdefault(account, now)
        return is_first

    def record_informed(self, account: str, lender: str) -> None:
        """Record that a lender knows an account's record."""
        self.informed_holders[account].add(lender)

    def record_wait(self, account: str, now: float) -> None:
        """Record that a request waits for tokens of an account."""
        self.first_wait_at.setdefault(account, now)

    def are_settled(self, account: str, now: float) -> bool:
        """Return whether the holders know their slices and the own slice may be spent."""
        return self._is_own_usable(account, now) and self._are_holders_informed(account, now)

    def earliest_refusal_at(self, account: str, waiting_since: float, now: float) -> float:
        """Return until when a request waits for more to be known, in monotonic seconds.

        Args:
            account: Client account that the request is charged to.
            waiting_since: When the request began to wait, in monotonic seconds.
            now: Monotonic seconds.
        """
        if not self._is_own_usable(account, now) and not self.store_session.is_cut_off(now):
            return waiting_since + NEW_SLICES_GRACE_S
        if not self._are_holders_informed(account, now):
            return self._informed_by(account)
        return waiting_since

    def _is_own_usable(self, account: str, now: float) -> bool:
        """Return whether the own slice, if there is one, may be spent as the store records it."""
        if self.instance not in self.holders.get(account, ()):
            return True
        return self.own_slices_read and self.store_session.may_spend(now)

    def _are_holders_informed(self, account: str, now: float) -> bool:
        """Return whether all holders of an account know their slices, or are taken to."""
        others = set(self.holders.get(account, ())) - {self.instance}
        all_informed = account in self.holders and others <= self.informed_holders[account]
        return all_informed or now >= self._informed_by(account)

    def _informed_by(self, account: str) -> float:
        """Return when all holders are taken to know their slices, in monotonic seconds."""
        known_since = self.holders_known_since.get(account, self.first_wait_at[account])
        return known_since + NEW_SLICES_GRACE_S
