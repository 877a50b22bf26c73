"""The rules of the placement policy. Benchmarks switch off single rules to measure their effect."""

from __future__ import annotations

from yuccahitch import records


class Rules(records.Record):
    """Flags that say which rules are in force. All are on unless an argument is False.

    Attributes:
        affinity: Prefer the replica that holds the prompt's prefix in its cache.
        reports: Count the requests in load reports too, not only those of this instance.
        load_aware: Choose by estimated time to the first token rather than in turn.
        spill: Forward requests to another region when the gain justifies the link and the cost.
        fair_queue: Queue fairly by client account rather than first come, first served.
        short_lane: Keep short requests from waiting behind long ones.
        early_refusal: Refuse a request at once if it can't begin before its deadline.
        retry_budget: Limit retries to a fraction of the traffic.
        ejection: Send no requests to upstreams that failed several times in a row.
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
