"""A fake model engine in virtual time: batching, a prefix cache in limited memory, reports."""

from __future__ import annotations

import collections
import json
import typing

from yuccahitch import errors
from yuccahitch.messages import actions, answers, peers

if typing.TYPE_CHECKING:
    from fakes import fleet as fleets

TOKEN_S = 0.03
PREFILL_TOKENS_PER_S = 4000.0
CACHE_PREFIXES = 12
CACHED_SHARE = 0.9
RESTART_S = 5.0


class Job:
    """A request at an engine."""

    __slots__ = ("work", "report", "began", "over")

    def __init__(
        self, work: actions.Dispatch, report: typing.Callable[..., None], began: float
    ) -> None:
        self.work = work
        self.report = report
        self.began = began
        self.over = False


class Engine:
    """One replica.

    Attributes:
        slots: Requests in a batch.
        down_until: Until when it refuses connections.
        generated: Tokens that it generated.
        hits: Requests that found their prefix.
    """

    __slots__ = (
        "name",
        "region",
        "slots",
        "running",
        "waiting",
        "cache",
        "down_until",
        "slow",
        "generated",
        "hits",
        "served",
        "sequence",
    )

    def __init__(self, name: str, region: str, *, slots: int) -> None:
        self.name = name
        self.region = region
        self.slots = slots
        self.running: list[Job] = []
        self.waiting: collections.deque[Job] = collections.deque()
        self.cache: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.down_until = 0.0
        self.slow = 1.0
        self.generated = 0
        self.hits = 0
        self.served = 0
        self.sequence = 0

    def serve(
        self, fleet: fleets.Fleet, work: actions.Dispatch, report: typing.Callable[..., None]
    ) -> None:
        """Take a request."""
        if fleet.now < self.down_until:
            fleet.clock.schedule_after(0.001, lambda: report("failure", error=_refused(work)))
            return
        body = json.loads(work.request.body)
        if body.get("poison"):
            self.crash(fleet)
            fleet.clock.schedule_after(
                0.02, lambda: report("failure", error=_broken(work), crashed=True)
            )
            return
        self.waiting.append(Job(work, report, fleet.now))
        self._fill(fleet)

    def crash(self, fleet: fleets.Fleet) -> None:
        """Drop all work and be away for a while, with a cold cache afterwards."""
        self.down_until = fleet.now + RESTART_S
        self.cache.clear()
        for job in [*self.running, *self.waiting]:
            job.over = True
            job.report("failure", error=_broken(job.work), crashed=True)
        self.running.clear()
        self.waiting.clear()

    def load(self) -> peers.LoadReport:
        """Return a load report."""
        self.sequence += 1
        return peers.LoadReport(
            upstream=self.name,
            running=len(self.running),
            waiting=len(self.waiting),
            sequence=self.sequence,
            leaving=False,
            age_ms=0,
        )

    def _fill(self, fleet: fleets.Fleet) -> None:
        while self.waiting and len(self.running) < self.slots:
            job = self.waiting.popleft()
            self.running.append(job)
            self._begin(fleet, job)

    def _begin(self, fleet: fleets.Fleet, job: Job) -> None:
        request = job.work.request
        tokens = float(request.prompt_tokens)
        if request.prefix_hash in self.cache:
            self.hits += 1
            tokens *= 1 - CACHED_SHARE
        self.served += 1
        self.cache[request.prefix_hash] = None
        self.cache.move_to_end(request.prefix_hash)
        while len(self.cache) > CACHE_PREFIXES:
            self.cache.popitem(last=False)
        crowding = 1 + 0.5 * len(self.running) / self.slots
        first_s = (tokens / PREFILL_TOKENS_PER_S + TOKEN_S) * crowding * self.slow
        used = min(json.loads(request.body)["used"], job.work.max_tokens)
        rest_s = (used - 1) * TOKEN_S * crowding * self.slow

        def first() -> None:
            if not job.over:
                job.report("head")

        def last() -> None:
            if job.over:
                return
            self.generated += used
            self.running.remove(job)
            job.report("end", usage=answers.Usage(request.prompt_tokens, used))
            self._fill(fleet)

        fleet.clock.schedule_after(first_s, first)
        fleet.clock.schedule_after(first_s + rest_s, last)


def _refused(work: actions.Dispatch) -> errors.GatewayError:
    return errors.GatewayError(errors.Code.UPSTREAM_REFUSED, step="dispatch", peer=work.upstream)


def _broken(work: actions.Dispatch) -> errors.GatewayError:
    return errors.GatewayError(
        errors.Code.UPSTREAM_FAILED,
        step="dispatch",
        peer=work.upstream,
        run=errors.RunStatus.MAY_HAVE_RUN,
    )
