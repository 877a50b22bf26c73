"""Estimates of the time that requests take at upstreams."""

from __future__ import annotations

from yuccahitch.controllers.upstream_state import replica_state
from yuccahitch.resources import service as services

# Rate at which a model upstream reads prompts.
PREFILL_TOKENS_PER_S = 60_000.0
# Time from the end of the prompt to the first token at an idle model upstream, in seconds.
FIRST_TOKEN_S = 0.05
# Delay that a model upstream adds to the first token when all its slots are taken, in seconds.
FULL_LOAD_DELAY_S = 0.15
# Weight, in placing, of the time by which a request slows down the others of a model upstream whose
# slots are all taken: as a fraction of the time that a request takes.
MODEL_CROWDING = 0.8
# Time that a request takes at a service before one was measured, in seconds.
INITIAL_PLAIN_WORK_S = 0.08
INITIAL_MODEL_WORK_S = 0.6
# Weight of the newest request in the moving average of that time.
WORK_WEIGHT = 0.05
# Exponent of an upstream's slowness in the delay by its running requests: chance sends a slow one
# too many while it has free slots.
CROWDING_EXPONENT = 0.5
# Added to the estimate of an upstream that fails every request, in seconds.
FAILURE_PENALTY_S = 0.5


class WorkEstimates:
    """Estimates waits and slowdowns from the time that requests of each service took.

    Attributes:
        work_s: Moving average of the time that a request takes, in seconds, by service.
    """

    __slots__ = ("work_s",)

    def __init__(self) -> None:
        self.work_s: dict[str, float] = {}

    def record_work_time(self, service: str, duration_s: float) -> None:
        """Update the average time of a service with a request that just succeeded."""
        average_s = self.work_s.get(service, duration_s)
        self.work_s[service] = average_s + WORK_WEIGHT * (duration_s - average_s)

    def work_time(self, service: services.Service) -> float:
        """Return the time that a request of a service takes, in seconds."""
        is_model = service.kind == services.MODEL
        initial_s = INITIAL_MODEL_WORK_S if is_model else INITIAL_PLAIN_WORK_S
        return self.work_s.get(service.name, initial_s)

    def wait(
        self,
        replica: replica_state.Replica,
        service: services.Service,
        *,
        running: int,
        prefill_s: float,
        work_factor: float,
    ) -> float:
        """Return the estimated time to first token of a request without a prompt, in seconds.

        Args:
            replica: The upstream.
            service: Its service.
            running: Requests that the upstream runs.
            prefill_s: Time that the upstream takes to read their prompts, in seconds.
            work_factor: Time that the upstream takes for a request over the service's average.
                Even numbers of running requests give work in proportion to the speeds already, so
                it counts fully in the queue alone.
        """
        slots = replica.upstream.slots
        is_model = service.kind == services.MODEL
        work_s = self.work_time(service)
        queued_s = max(0, running + 1 - slots) * work_s * work_factor / slots
        crowding_s = running / slots * (FULL_LOAD_DELAY_S if is_model else work_s / 4)
        crowding_s *= work_factor**CROWDING_EXPONENT
        failure_penalty_s = (1.0 - replica.success_rate) * FAILURE_PENALTY_S
        first_s = FIRST_TOKEN_S if is_model else work_s
        return first_s + queued_s + crowding_s + failure_penalty_s + prefill_s

    def slowdown(
        self, replica: replica_state.Replica, service: services.Service, *, running: int
    ) -> float:
        """Return the cost of a further request to those that an upstream runs, in seconds.

        A model upstream makes the tokens of all its requests in turn.
        """
        if service.kind != services.MODEL:
            return 0.0
        occupied = min(1.0, running / replica.upstream.slots)
        return occupied * self.work_time(service) * MODEL_CROWDING
