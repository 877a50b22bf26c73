"""How old an instance's knowledge of the platform's store may be.

Whoever passes changes on may be cut off, paused or slow, one after another, so no limit on one of
these steps bounds the whole way. The age of the knowledge does: it is the time since the store is
known to have been in the known state, whoever asked it. An instance whose knowledge is older than
``max_age_s`` asks the store itself, and hears of every change within the bound.
"""

from __future__ import annotations

from yuccahitch.messages import store

# Time within which the own watch has replied once knowledge is too old, in seconds: a connection
# and a call across regions, and the request that was placed just before reaching its upstream.
READ_RESERVE_S = 1.0
# Longest time for which an upstream is used after its entry was found missing, in seconds.
MAX_REMOVAL_GRACE_S = 2.0
# Smallest limit of the age, in seconds.
MIN_MAX_AGE_S = 0.5
# Part of the age that is not the wait of a watch, in seconds: the pause between two calls, the way
# to the store and back, a short call after changes, and the time until the next report.
WATCH_RESERVE_S = 1.0
# Shortest wait of a watch's call in the store, in seconds.
MIN_WATCH_S = 0.2
# Time by which a request reaches its upstream after it was placed there, in seconds.
ARRIVAL_RESERVE_S = 0.6
# Time before the end of the bound at which knowledge is older than an instance in contact with the
# store has it, in seconds.
CONTACT_RESERVE_S = 0.3
# Wait of a poll that only shows that there are no further changes, in seconds.
CONFIRMING_WAIT_S = 0.2
# Age of the newest moment at which the state was known, above which the next poll is such a one, in
# seconds.
UNCONFIRMED_AGE_S = 0.3


class Freshness:
    """The times that follow from the bounds within which changes must be in force.

    Args:
        drain_s: Time after which an upstream that left gets no requests, in seconds.
        config_s: Time after which a configuration is in force, in seconds.
        watch_s: Longest wait of a watch's call in the store, in seconds.

    Attributes:
        drain_s: As given.
        removal_grace_s: Longest time for which an upstream is used after its entry was found
            missing, in seconds.
        max_age_s: Age of the knowledge from which an instance watches the store itself, in seconds.
        watch_s: Wait of a watch's call in the store, in seconds.
        inference_age_s: Age of the knowledge up to which it counts that something is not in the
            store, in seconds. In calm it is exceeded only between two calls of a watch.
    """

    __slots__ = ("drain_s", "removal_grace_s", "max_age_s", "watch_s", "inference_age_s")

    def __init__(self, *, drain_s: float, config_s: float, watch_s: float) -> None:
        self.drain_s = drain_s
        self.removal_grace_s = max(0.0, min(MAX_REMOVAL_GRACE_S, drain_s - READ_RESERVE_S))
        self.max_age_s = max(MIN_MAX_AGE_S, min(drain_s, config_s) - READ_RESERVE_S)
        self.watch_s = max(MIN_WATCH_S, min(watch_s, self.max_age_s - WATCH_RESERVE_S))
        self.inference_age_s = self.watch_s

    def removal_at(self, known_at: float, now: float) -> float:
        """Return until when an upstream is used whose entry is found missing.

        The entry may have been removed right after it was last known to be there. If that is so
        long ago that the store or this instance was out of contact, the entry may have lapsed
        although the upstream lives, and comes back soon.

        Args:
            known_at: When the entry was last known to be in the store, in monotonic seconds.
            now: Monotonic seconds.
        """
        grace_end = now + self.removal_grace_s
        if now - known_at > self.drain_s - CONTACT_RESERVE_S:
            return grace_end
        return max(now, min(grace_end, known_at + self.drain_s - ARRIVAL_RESERVE_S))

    def lingers_until(self, known_at: float) -> float:
        """Return until when a leaving upstream may still get requests that no other one can take.

        Args:
            known_at: When it was last known not to be leaving, in monotonic seconds.
        """
        return known_at + self.drain_s - ARRIVAL_RESERVE_S


def known_until(change: store.KeysChanged, *, sent_at: float, wait_s: float, now: float) -> float:
    """Return the moment up to which the reply to a poll has all changes.

    The reply may have been held up on its way. One without changes left the store when the wait was
    over, one with changes some time after the poll was sent; nothing later is certain.

    Args:
        change: The reply.
        sent_at: When the poll was sent, in monotonic seconds.
        wait_s: Time for which the store was asked to wait for changes, in seconds.
        now: Monotonic seconds.
    """
    return sent_at if change.changes else min(sent_at + wait_s, now)


def next_wait_s(known_at: float, now: float, *, longest_s: float) -> float:
    """Return for how long the next poll waits in the store, in seconds.

    Args:
        known_at: Moment up to which all changes are known, in monotonic seconds.
        now: Monotonic seconds.
        longest_s: Longest wait, in seconds.
    """
    return longest_s if now - known_at <= UNCONFIRMED_AGE_S else CONFIRMING_WAIT_S
