"""The rules of the policy, each of which can be switched off to measure what it brings."""

from __future__ import annotations

from yuccahitch import records


class Rules(records.Record):
    """Which rules are in force.

    Attributes:
        affinity: Prefer the replica that holds the prompt's prefix in its cache.
        reports: Count what load reports say, not only the own requests.
        load_aware: Choose by estimated time to the first token rather than in turn.
        spill: Send requests to another region when the gain justifies the link and the cost.
        fair_queue: Queue by client account rather than first come first served.
        short_lane: Keep short requests from waiting behind long ones.
        early_refusal: Refuse at once what can't begin before its deadline.
        retry_budget: Bound retries to a share of the traffic.
        ejection: Give no work to upstreams that fail.
    """

    __slots__ = (
        "affinity",
        "reports",
        "load_aware",
        "spill",
        "fair_queue",
        "short_lane",
        "early_refusal",
        "retry_budget",
        "ejection",
    )

    def __init__(self, **enabled: bool) -> None:
        for name in self.__slots__:
            setattr(self, name, enabled.get(name, True))
