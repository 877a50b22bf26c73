"""What instances tell each other about requests that crash upstreams.

A trait is a 64-bit hash of what requests may have in common: the whole request, or a part of its
prompt.
"""

from __future__ import annotations

from yuccahitch import records


class SuspectRequest(records.Record):
    """A request that an upstream worked on when it crashed.

    Attributes:
        request_trait: Trait of the whole request, equal for all repeats by its client account.
        part_traits: Traits of the shared parts of its prompt in their order; empty if its answer
            had begun well before the crash.
        crash_number: Which of the crashes during its attempts this is, from 1. Reports don't hold
            it.
    """

    __slots__ = ("request_trait", "part_traits", "crash_number")

    def __init__(
        self, request_trait: int, part_traits: tuple[int, ...] = (), *, crash_number: int = 1
    ) -> None:
        self.request_trait = request_trait
        self.part_traits = tuple(part_traits)
        self.crash_number = crash_number


class CrashReport(records.Record):
    """A crash of an upstream with the requests that it worked on.

    Attributes:
        upstream: The incarnation of the upstream.
        age_ms: Time since the crash, in milliseconds.
        requests: The requests.
    """

    __slots__ = ("upstream", "age_ms", "requests")

    def __init__(self, upstream: str, *, age_ms: int, requests: list[SuspectRequest]) -> None:
        self.upstream = upstream
        self.age_ms = age_ms
        self.requests = requests


class RefusalReport(records.Record):
    """A trait whose requests are refused.

    Attributes:
        trait: The trait.
        since_ms: Time since the first crash that it is held responsible for, in milliseconds.
        left_ms: Time for which its requests are still refused, in milliseconds.
    """

    __slots__ = ("trait", "since_ms", "left_ms")

    def __init__(self, trait: int, *, since_ms: int, left_ms: int) -> None:
        self.trait = trait
        self.since_ms = since_ms
        self.left_ms = left_ms


class ClearanceReport(records.Record):
    """A refused trait with which a request was answered in full.

    Attributes:
        trait: The trait.
        age_ms: Time since the answer began, in milliseconds.
    """

    __slots__ = ("trait", "age_ms")

    def __init__(self, trait: int, *, age_ms: int) -> None:
        self.trait = trait
        self.age_ms = age_ms


class SuspectReport(records.Record):
    """What one instance reports to others about crashes.

    Attributes:
        crashes: Recent crashes.
        refusals: The traits that the sender refuses.
        clearances: The traits that the sender knows to be sound though others refuse them.
    """

    __slots__ = ("crashes", "refusals", "clearances")

    def __init__(
        self,
        *,
        crashes: list[CrashReport] | None = None,
        refusals: list[RefusalReport] | None = None,
        clearances: list[ClearanceReport] | None = None,
    ) -> None:
        self.crashes = crashes or []
        self.refusals = refusals or []
        self.clearances = clearances or []
