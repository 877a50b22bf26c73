"""Fake upstreams that count each run and fail on demand."""

from __future__ import annotations

import collections
import random
import typing

from yuccahitch import errors
from yuccahitch.messages import actions, answers, commands

if typing.TYPE_CHECKING:
    from fakes import fleet as fleets
    from fakes import instances

RUN_S = 0.1
ANSWER_S = 0.05


class Counting:
    """An upstream that counts the runs of each request digest.

    Attributes:
        runs: Runs by digest.
        received: Attempts by request id.
        faults: Faults of the next attempts: ``refuse`` (no connection), ``break-before`` (the
            connection breaks before the run), ``break-after`` (it breaks after the run).
        random_faults: Share of attempts with a random fault.
    """

    __slots__ = ("runs", "received", "faults", "random_faults", "rng", "run_s", "times")

    def __init__(self, *, seed: int = 0) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()
        self.faults: list[str] = []
        self.random_faults = 0.0
        self.rng = random.Random(seed)
        self.run_s = RUN_S
        self.times: dict[str, float] = {}

    def serve(
        self,
        fleet: fleets.Fleet,
        instance: instances.Instance,
        work: actions.Dispatch,
        report: typing.Callable[..., None],
    ) -> None:
        """Take an attempt; what was received runs even if the gateway dies meanwhile."""
        fault = self._fault()
        if fault == "refuse":
            error = _error(errors.Code.UPSTREAM_REFUSED, work, errors.RunStatus.NOT_RUN)
            fleet.clock.after(0.01, lambda: report("failure", error=error))
            return
        self.received[work.request.id] += 1
        broken = _error(errors.Code.UPSTREAM_FAILED, work, errors.RunStatus.MAY_HAVE_RUN)
        if fault == "break-before":
            fleet.clock.after(0.01, lambda: report("failure", error=broken, crashed=True))
            return

        def run() -> None:
            self.runs[work.request.digest] += 1
            self.times.setdefault(work.request.digest, fleet.now)
            if fault == "break-after":
                report("failure", error=broken, crashed=True)
                return
            report("head")
            usage = answers.Usage(work.request.prompt_tokens, work.max_tokens)
            fleet.clock.after(ANSWER_S, lambda: report("end", usage=usage))

        fleet.clock.after(self.run_s, run)

    def _fault(self) -> str:
        if self.faults:
            return self.faults.pop(0)
        if self.rng.random() < self.random_faults:
            return self.rng.choice(["refuse", "break-before", "break-after"])
        return ""


def _error(code: errors.Code, work: actions.Dispatch, run: errors.RunStatus) -> errors.GatewayError:
    return errors.GatewayError(code, step="dispatch", peer=work.upstream, run=run)


class OrderedEngine:
    """An engine that takes orders and works on each for a while.

    Attributes:
        fencing: Whether it refuses old fencing numbers.
        order_s: Time that an order takes, in seconds.
        spans: Begin and end of each order that it worked on.
        refused: Orders refused for an old number.
    """

    __slots__ = ("fencing", "order_s", "highest", "spans", "refused", "lose_answers")

    def __init__(self, *, fencing: bool, order_s: float = 3.0) -> None:
        self.fencing = fencing
        self.order_s = order_s
        self.highest = 0
        self.spans: list[tuple[float, float]] = []
        self.refused = 0
        self.lose_answers = False

    def order(
        self, fleet: fleets.Fleet, instance: instances.Instance, message: commands.SendOrder
    ) -> None:
        """Take an order."""
        if self.fencing and message.fence < self.highest:
            self.refused += 1
            self._answer(fleet, instance, message, 0.01, errors.RunStatus.NOT_RUN)
            return
        self.highest = max(self.highest, message.fence)
        self.spans.append((fleet.now, fleet.now + self.order_s))
        run = errors.RunStatus.MAY_HAVE_RUN if self.lose_answers else None
        self._answer(fleet, instance, message, self.order_s, run)

    def _answer(
        self,
        fleet: fleets.Fleet,
        instance: instances.Instance,
        message: commands.SendOrder,
        after_s: float,
        run: errors.RunStatus | None,
    ) -> None:
        problem = None
        if run is not None:
            problem = errors.GatewayError(errors.Code.ORDER_REFUSED, step="order", run=run)
        fleet.clock.after(
            after_s,
            lambda: fleet.do(
                instance,
                lambda now: instance.decisions.orders.on_order_reply(message.order, problem, now),
            ),
        )
