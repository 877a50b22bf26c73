"""Finds what the requests have in common that upstreams worked on when they crashed.

A trait that crashes every upstream is in one of the requests of each crash, and no request with it
is ever answered. Sound requests that happen to run beside it share neither for long.
"""

from __future__ import annotations

import collections
import math
import typing

from yuccahitch.messages import suspects

MAX_CRASHES = 32
MAX_REQUESTS_PER_CRASH = 256
# Upstreams that crash this close after each other may have a common cause, as a loss of power.
COMMON_CAUSE_S = 0.2
# Observations of one upstream within this time belong to the same crash.
SAME_CRASH_S = 1.0
# Traits whose last full answer is remembered; those that were answered last are kept.
MAX_ANSWERED_TRAITS = 8192


class Crash:
    """A crash of an upstream.

    Attributes:
        upstream: The incarnation of the upstream.
        at: When it was first seen, in monotonic seconds.
        requests: The requests that the upstream worked on, by the trait of the whole request.
        part_traits: Traits of all prompt parts in these requests.
    """

    __slots__ = ("upstream", "at", "requests", "part_traits")

    def __init__(self, upstream: str, at: float) -> None:
        self.upstream = upstream
        self.at = at
        self.requests: dict[int, suspects.SuspectRequest] = {}
        self.part_traits: set[int] = set()

    def add(self, request: suspects.SuspectRequest) -> bool:
        """Add a request; return whether it was new."""
        known = self.requests.get(request.request_trait)
        if known is not None:
            crash_number = max(known.crash_number, request.crash_number)
            known.crash_number = request.crash_number = crash_number
        if known is not None and len(known.part_traits) >= len(request.part_traits):
            return False
        if known is None and len(self.requests) >= MAX_REQUESTS_PER_CRASH:
            return False
        self.requests[request.request_trait] = request
        self.part_traits.update(request.part_traits)
        return True


class Suspicion:
    """What speaks against a prompt part.

    Attributes:
        trait: The trait of the part.
        crashes: The crashes at which a request with it ran.
        crashes_by_request: Number of these crashes at which each request with the trait ran.
        depth: Position of the part in a prompt, from 0.
        answered_at: When the last full answer with the trait began, in monotonic seconds.
    """

    __slots__ = ("trait", "crashes", "crashes_by_request", "depth", "answered_at")

    def __init__(self, trait: int, *, depth: int, answered_at: float) -> None:
        self.trait = trait
        self.crashes: set[Crash] = set()
        self.crashes_by_request: collections.Counter[int] = collections.Counter()
        self.depth = depth
        self.answered_at = answered_at

    def add(self, crash: Crash, request_trait: int) -> None:
        """Count a crash at which a request with the trait ran."""
        self.crashes.add(crash)
        self.crashes_by_request[request_trait] += 1

    @property
    def shared(self) -> bool:
        """Return whether no single request was there at all crashes."""
        return max(self.crashes_by_request.values()) < len(self.crashes)

    def strength(self) -> tuple[int, float, int]:
        """Return a key that is greatest for the likeliest cause.

        Of parts that only came together, one that was never answered is likelier than one that
        was, and then a later part of the prompt, which fewer sound requests share.
        """
        return len(self.crashes), -self.answered_at, self.depth


class CrashEvidence:
    """The crashes of upstreams, and the traits that requests were answered with.

    Args:
        memory_s: Time for which a crash counts, in seconds.

    Attributes:
        crashes: Crashes in the order in which they became known.
        answered_at: When the last full answer with each trait began, in monotonic seconds.
    """

    __slots__ = ("memory_s", "crashes", "answered_at")

    def __init__(self, *, memory_s: float) -> None:
        self.memory_s = memory_s
        self.crashes: list[Crash] = []
        self.answered_at: dict[int, float] = {}

    def crash_of(self, upstream: str, crashed_at: float) -> Crash:
        """Return the crash of an upstream at a time, a new one if none is known."""
        for crash in reversed(self.crashes):
            if crash.upstream == upstream and abs(crash.at - crashed_at) <= SAME_CRASH_S:
                return crash
        crash = Crash(upstream, crashed_at)
        self.crashes.append(crash)
        del self.crashes[:-MAX_CRASHES]
        return crash

    def record_answer(self, traits: typing.Iterable[int], began_at: float) -> None:
        """Record that a request with some traits was answered in full."""
        for trait in traits:
            latest = max(began_at, self.answered_at.pop(trait, -math.inf))
            self.answered_at[trait] = latest
        while len(self.answered_at) > MAX_ANSWERED_TRAITS:
            del self.answered_at[next(iter(self.answered_at))]

    def last_answer(self, trait: int) -> float:
        """Return when the last full answer with a trait began; minus infinity if none is known."""
        return self.answered_at.get(trait, -math.inf)

    def crashes_of_request(
        self, trait: int, explained_by: typing.AbstractSet[int] = frozenset()
    ) -> set[Crash]:
        """Return the unexplained crashes at which a request ran that has not been answered since.

        Args:
            trait: Trait of the whole request.
            explained_by: Traits known to cause crashes, as for ``likeliest_cause``.
        """
        return {
            crash
            for crash in self.crashes
            if trait in crash.requests
            and self.last_answer(trait) <= crash.at
            and crash.part_traits.isdisjoint(explained_by)
        }

    def expire(self, now: float) -> None:
        """Drop the crashes that no longer count."""
        self.crashes = [crash for crash in self.crashes if now - crash.at <= self.memory_s]

    def likeliest_cause(
        self,
        explained_by: typing.AbstractSet[int],
        limit: typing.Callable[[int], int],
        *,
        settled_at: float,
    ) -> Suspicion | None:
        """Return what speaks against the prompt part that most likely causes crashes, or None.

        Args:
            explained_by: Traits known to cause crashes; crashes with such a part are explained
                and count against no other.
            limit: Returns the number of crashes from which a trait counts as their cause.
            settled_at: Only crashes up to this time count, in monotonic seconds; of later ones
                not all instances have told which requests were there.
        """
        found = [
            suspicion
            for suspicion in self.suspicions(explained_by, until=settled_at).values()
            if count_upstreams(suspicion.crashes) >= limit(suspicion.trait)
            and count_moments(suspicion.crashes) >= limit(suspicion.trait)
            and (suspicion.shared or limit(suspicion.trait) == 1)
        ]
        return max(found, key=Suspicion.strength, default=None)

    def suspicions(
        self, explained_by: typing.AbstractSet[int] = frozenset(), *, until: float = math.inf
    ) -> dict[int, Suspicion]:
        """Return what speaks against each prompt part that has not been answered since.

        Args:
            explained_by: Traits known to cause crashes, as for ``likeliest_cause``.
            until: Time up to which crashes count, in monotonic seconds.
        """
        suspicions: dict[int, Suspicion] = {}
        for crash in self.crashes:
            if crash.at > until or not crash.part_traits.isdisjoint(explained_by):
                continue
            for request in crash.requests.values():
                for depth, trait in enumerate(request.part_traits):
                    if trait in explained_by or self.last_answer(trait) > crash.at:
                        continue
                    suspicion = suspicions.get(trait)
                    if suspicion is None:
                        suspicion = suspicions[trait] = Suspicion(
                            trait, depth=depth, answered_at=self.last_answer(trait)
                        )
                    suspicion.add(crash, request.request_trait)
        return suspicions


def count_upstreams(crashes: typing.Iterable[Crash]) -> int:
    """Return the number of different upstreams that crashed."""
    return len({crash.upstream for crash in crashes})


def count_moments(crashes: typing.Iterable[Crash]) -> int:
    """Return the number of moments at which upstreams crashed, several perhaps at each."""
    return len(_group_by_moment(crashes))


def count_separate(crashes: typing.Iterable[Crash], request_trait: int) -> int:
    """Return how many of the crashes at which a request ran can't share a cause but the request.

    Upstreams that crash at one moment may have another cause in common. Those that crashed on one
    attempt of a request after the other count each, as the later one was up after the earlier one.
    """
    separate = 0
    for moment in _group_by_moment(crashes):
        numbers = [crash.requests[request_trait].crash_number for crash in moment]
        separate += 1 + max(numbers) - min(numbers)
    return separate


def _group_by_moment(crashes: typing.Iterable[Crash]) -> list[list[Crash]]:
    """Return the crashes, those of one moment together."""
    moments: list[list[Crash]] = []
    for crash in sorted(crashes, key=lambda item: item.at):
        if moments and crash.at - moments[-1][-1].at < COMMON_CAUSE_S:
            moments[-1].append(crash)
        else:
            moments.append([crash])
    return moments
