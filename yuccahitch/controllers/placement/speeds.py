"""Learns how fast each upstream is at each kind of work."""

from __future__ import annotations

import math

from yuccahitch.controllers.placement import assignments
from yuccahitch.controllers.upstream_state import replica_state, slowness
from yuccahitch.resources import service as services

# Weight of a sample in the average of a service.
AVERAGE_WEIGHT = 0.02
# Prompts that are shorter tell nothing of the time that an upstream takes to read, in tokens.
MIN_PROMPT_TOKENS = 1000
# Samples that are shorter count as this, in seconds: whole requests, and times for a token.
MIN_WHOLE_S = 0.001
MIN_TOKEN_S = 0.000001


class Speeds:
    """Compares the times that upstreams take with the average of their service.

    Args:
        enabled: Whether speeds are learned; if not, all upstreams count as alike.

    Attributes:
        averages: Average of the logarithms of times, by service and kind of work; the times are
            those for a token, or for a request of a plain service.
    """

    __slots__ = ("enabled", "averages")

    def __init__(self, *, enabled: bool) -> None:
        self.enabled = enabled
        self.averages: dict[tuple[str, slowness.Work], float] = {}

    def record_answer(
        self,
        assignment: assignments.Assignment,
        *,
        began_at: float | None,
        now: float,
    ) -> None:
        """Learn from a request that succeeded.

        The time in the queue of a plain service is that of the requests before. The time in that
        of a model tells nothing, as its prompts differ.

        Args:
            assignment: The request's assignment.
            began_at: When the answer began, in monotonic seconds; None if that is not known.
            now: Monotonic seconds.
        """
        if not self.enabled:
            return
        replica, service = assignment.replica, assignment.service
        if not assignment.output_tokens:
            whole_s = (now - assignment.placed_at) / (1 + assignment.ahead)
            self._record(replica, service, slowness.Work.WHOLE, whole_s, now)
            return
        if began_at is None or began_at < assignment.placed_at:
            return
        if assignment.prompt_tokens >= MIN_PROMPT_TOKENS and not assignment.ahead:
            prefill_s = (began_at - assignment.placed_at) / assignment.prompt_tokens
            self._record(replica, service, slowness.Work.PREFILL, prefill_s, now)
        step_s = (now - began_at) / assignment.output_tokens
        self._record(replica, service, slowness.Work.STEPS, step_s, now)

    def work_factor(
        self, replica: replica_state.Replica, service: services.Service, now: float
    ) -> float:
        """Return the time that an upstream takes for requests over the service's average."""
        kind = slowness.Work.STEPS if service.kind == services.MODEL else slowness.Work.WHOLE
        return self._factor(replica, kind, now)

    def prefill_factor(self, replica: replica_state.Replica, now: float) -> float:
        """Return the time that an upstream takes to read a prompt over the service's average."""
        return self._factor(replica, slowness.Work.PREFILL, now)

    def _record(
        self,
        replica: replica_state.Replica,
        service: str,
        kind: slowness.Work,
        time_s: float,
        now: float,
    ) -> None:
        """Record the time of a kind of work for an upstream and in the average of its service."""
        shortest_s = MIN_WHOLE_S if kind is slowness.Work.WHOLE else MIN_TOKEN_S
        sample = math.log(max(shortest_s, time_s))
        average = self.averages.get((service, kind), sample)
        self.averages[(service, kind)] = average + AVERAGE_WEIGHT * (sample - average)
        replica.slowness[kind].record(sample - average, now)

    @staticmethod
    def _factor(replica: replica_state.Replica, kind: slowness.Work, now: float) -> float:
        """Return the factor of an upstream for a kind of work."""
        return replica.slowness[kind].factor(now)
