"""Fake upstreams and engines that record what they run and fail on demand."""

from __future__ import annotations

import collections
import random
import typing

from yuccahitch import errors
from yuccahitch.messages import actions, answers, commands

if typing.TYPE_CHECKING:
    from fakes import fleet as fleets
    from fakes import instances

# Time from the receipt of a request to the head of its answer, in seconds.
RUN_DURATION_S = 0.1
# Time from the head of an answer to its end, in seconds.
ANSWER_DURATION_S = 0.05


class CountingUpstream:
    """An upstream that counts how often each request is run.

    Attributes:
        runs_by_digest: Number of runs by digest of the request.
        attempts_by_request: Number of attempts received by request id.
        faults: Faults of the next attempts, in order; set by tests. ``refuse``: no connection;
            ``break-before``: the connection breaks before the run; ``break-after``: it breaks
            after the run.
        random_fault_share: Share of the other attempts that get a random fault, from 0 to 1.
        rng: Seeded source of random faults.
        run_duration_s: Duration of a run in seconds.
        first_run_at: Virtual time at which the first run of a digest ended, by digest.
    """

    __slots__ = (
        "runs_by_digest",
        "attempts_by_request",
        "faults",
        "random_fault_share",
        "rng",
        "run_duration_s",
        "first_run_at",
    )

    def __init__(self, *, seed: int = 0) -> None:
        self.runs_by_digest: collections.Counter[str] = collections.Counter()
        self.attempts_by_request: collections.Counter[str] = collections.Counter()
        self.faults: list[str] = []
        self.random_fault_share = 0.0
        self.rng = random.Random(seed)
        self.run_duration_s = RUN_DURATION_S
        self.first_run_at: dict[str, float] = {}

    def serve(
        self,
        fleet: fleets.Fleet,
        instance: instances.Instance,
        work: actions.Dispatch,
        report: typing.Callable[..., None],
    ) -> None:
        """Run a dispatched request and report its outcome.

        A request that was received is run even if the gateway fails in the meantime.
        """
        fault = self._next_fault()
        if fault == "refuse":
            error = _error(errors.Code.UPSTREAM_REFUSED, work, errors.RunStatus.NOT_RUN)
            fleet.clock.schedule_after(0.01, lambda: report("failure", error=error))
            return
        self.attempts_by_request[work.request.id] += 1
        broken = _error(errors.Code.UPSTREAM_FAILED, work, errors.RunStatus.MAY_HAVE_RUN)
        if fault == "break-before":
            fleet.clock.schedule_after(0.01, lambda: report("failure", error=broken, crashed=True))
            return

        def run() -> None:
            self.runs_by_digest[work.request.digest] += 1
            self.first_run_at.setdefault(work.request.digest, fleet.now)
            if fault == "break-after":
                report("failure", error=broken, crashed=True)
                return
            report("head")
            usage = answers.Usage(work.request.prompt_tokens, work.max_tokens)
            fleet.clock.schedule_after(ANSWER_DURATION_S, lambda: report("end", usage=usage))

        fleet.clock.schedule_after(self.run_duration_s, run)

    def _next_fault(self) -> str:
        """Return the fault of the next attempt, or empty."""
        if self.faults:
            return self.faults.pop(0)
        if self.rng.random() < self.random_fault_share:
            return self.rng.choice(["refuse", "break-before", "break-after"])
        return ""


def _error(code: errors.Code, work: actions.Dispatch, run: errors.RunStatus) -> errors.GatewayError:
    """Return the error that an instance receives for a failed dispatch."""
    return errors.GatewayError(code, step="dispatch", peer=work.upstream, run=run)


class OrderEngine:
    """An engine that executes orders, optionally with a check of fencing numbers.

    Attributes:
        fencing: Whether orders with outdated fencing numbers are refused.
        order_duration_s: Time that an order takes, in seconds.
        highest_fence: Highest fencing number received.
        spans: Begin and end of each order executed, in virtual seconds.
        refused_orders: Number of orders refused for an outdated fencing number.
        lose_answers: Whether an executed order is reported as one that may have run; set by tests.
    """

    __slots__ = (
        "fencing",
        "order_duration_s",
        "highest_fence",
        "spans",
        "refused_orders",
        "lose_answers",
    )

    def __init__(self, *, fencing: bool, order_duration_s: float = 3.0) -> None:
        self.fencing = fencing
        self.order_duration_s = order_duration_s
        self.highest_fence = 0
        self.spans: list[tuple[float, float]] = []
        self.refused_orders = 0
        self.lose_answers = False

    def handle_order(
        self, fleet: fleets.Fleet, instance: instances.Instance, message: commands.SendOrder
    ) -> None:
        """Execute an order, or refuse it for its fencing number, and reply to the instance."""
        if self.fencing and message.fence < self.highest_fence:
            self.refused_orders += 1
            self._send_reply(fleet, instance, message, 0.01, errors.RunStatus.NOT_RUN)
            return
        self.highest_fence = max(self.highest_fence, message.fence)
        self.spans.append((fleet.now, fleet.now + self.order_duration_s))
        run = errors.RunStatus.MAY_HAVE_RUN if self.lose_answers else None
        self._send_reply(fleet, instance, message, self.order_duration_s, run)

    def _send_reply(
        self,
        fleet: fleets.Fleet,
        instance: instances.Instance,
        message: commands.SendOrder,
        after_s: float,
        run: errors.RunStatus | None,
    ) -> None:
        """Reply to an order after some seconds; a run status other than None is an error."""
        reply_error = None
        if run is not None:
            reply_error = errors.GatewayError(errors.Code.ORDER_REFUSED, step="order", run=run)
        fleet.clock.schedule_after(
            after_s,
            lambda: fleet.run_on(
                instance,
                lambda now: instance.decisions.orders.on_order_reply(
                    message.order, reply_error, now
                ),
            ),
        )
