"""Fake model engine in virtual time, with batching, a bounded prefix cache and load reports."""

from __future__ import annotations

import collections
import json
import typing

from yuccahitch import errors
from yuccahitch.messages import actions, answers, peers

if typing.TYPE_CHECKING:
    from fakes import fleet as fleets

SECONDS_PER_TOKEN = 0.03
PREFILL_TOKENS_PER_S = 4000.0
CACHE_CAPACITY_PREFIXES = 12
CACHED_PROMPT_SHARE = 0.9
RESTART_S = 5.0


class Job:
    """A request at an engine.

    Attributes:
        dispatch: The dispatched request.
        report: Called with the progress of the request: ``head``, ``end`` or ``failure``.
        started_at: Time at which the engine accepted the request, in seconds of virtual time.
        is_aborted: Whether a crash of the engine ended the request.
    """

    __slots__ = ("dispatch", "report", "started_at", "is_aborted")

    def __init__(
        self, dispatch: actions.Dispatch, report: typing.Callable[..., None], started_at: float
    ) -> None:
        self.dispatch = dispatch
        self.report = report
        self.started_at = started_at
        self.is_aborted = False


class Engine:
    """One replica of a model.

    Attributes:
        name: Name of the upstream.
        region: Region of the replica.
        slots: Maximum number of requests in a batch.
        running: Requests in the batch.
        waiting: Requests waiting for a slot, in order of arrival.
        prefix_cache: Hashes of the cached prefixes, the least recently used first.
        down_until: Time until which the engine refuses connections, in seconds of virtual time.
        slowdown_factor: Factor on all processing times; 1 is normal speed.
        generated_tokens: Number of tokens generated for finished requests.
        cache_hits: Number of requests whose prefix was cached.
        started_requests: Number of requests taken into the batch.
        sequence: Sequence number of the last load report.
    """

    __slots__ = (
        "name",
        "region",
        "slots",
        "running",
        "waiting",
        "prefix_cache",
        "down_until",
        "slowdown_factor",
        "generated_tokens",
        "cache_hits",
        "started_requests",
        "sequence",
    )

    def __init__(self, name: str, region: str, *, slots: int) -> None:
        self.name = name
        self.region = region
        self.slots = slots
        self.running: list[Job] = []
        self.waiting: collections.deque[Job] = collections.deque()
        self.prefix_cache: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.down_until = 0.0
        self.slowdown_factor = 1.0
        self.generated_tokens = 0
        self.cache_hits = 0
        self.started_requests = 0
        self.sequence = 0

    def serve(
        self, fleet: fleets.Fleet, dispatch: actions.Dispatch, report: typing.Callable[..., None]
    ) -> None:
        """Accept a request; refuse it while the engine is down, and crash on a poison request."""
        if fleet.now < self.down_until:
            fleet.clock.schedule_after(
                0.001, lambda: report("failure", error=_refused_error(dispatch))
            )
            return
        body = json.loads(dispatch.request.body)
        if body.get("poison"):
            self.crash(fleet)
            fleet.clock.schedule_after(
                0.02, lambda: report("failure", error=_crash_error(dispatch), crashed=True)
            )
            return
        self.waiting.append(Job(dispatch, report, fleet.now))
        self._start_waiting(fleet)

    def crash(self, fleet: fleets.Fleet) -> None:
        """Fail all requests, clear the cache and refuse connections for ``RESTART_S`` seconds."""
        self.down_until = fleet.now + RESTART_S
        self.prefix_cache.clear()
        for job in [*self.running, *self.waiting]:
            job.is_aborted = True
            job.report("failure", error=_crash_error(job.dispatch), crashed=True)
        self.running.clear()
        self.waiting.clear()

    def load_report(self) -> peers.LoadReport:
        """Return a load report with the next sequence number."""
        self.sequence += 1
        return peers.LoadReport(
            upstream=self.name,
            running=len(self.running),
            waiting=len(self.waiting),
            sequence=self.sequence,
            leaving=False,
            age_ms=0,
        )

    def _start_waiting(self, fleet: fleets.Fleet) -> None:
        while self.waiting and len(self.running) < self.slots:
            job = self.waiting.popleft()
            self.running.append(job)
            self._start(fleet, job)

    def _start(self, fleet: fleets.Fleet, job: Job) -> None:
        request = job.dispatch.request
        prefill_tokens = float(request.prompt_tokens)
        if request.prefix_hash in self.prefix_cache:
            self.cache_hits += 1
            prefill_tokens *= 1 - CACHED_PROMPT_SHARE
        self.started_requests += 1
        self.prefix_cache[request.prefix_hash] = None
        self.prefix_cache.move_to_end(request.prefix_hash)
        while len(self.prefix_cache) > CACHE_CAPACITY_PREFIXES:
            self.prefix_cache.popitem(last=False)
        batch_slowdown = 1 + 0.5 * len(self.running) / self.slots
        first_token_s = (
            (prefill_tokens / PREFILL_TOKENS_PER_S + SECONDS_PER_TOKEN)
            * batch_slowdown
            * self.slowdown_factor
        )
        output_tokens = min(json.loads(request.body)["used"], job.dispatch.max_tokens)
        generation_s = (
            (output_tokens - 1) * SECONDS_PER_TOKEN * batch_slowdown * self.slowdown_factor
        )

        def report_first_token() -> None:
            if not job.is_aborted:
                job.report("head")

        def finish_job() -> None:
            if job.is_aborted:
                return
            self.generated_tokens += output_tokens
            self.running.remove(job)
            job.report("end", usage=answers.Usage(request.prompt_tokens, output_tokens))
            self._start_waiting(fleet)

        fleet.clock.schedule_after(first_token_s, report_first_token)
        fleet.clock.schedule_after(first_token_s + generation_s, finish_job)


def _refused_error(dispatch: actions.Dispatch) -> errors.GatewayError:
    return errors.GatewayError(
        errors.Code.UPSTREAM_REFUSED, step="dispatch", peer=dispatch.upstream
    )


def _crash_error(dispatch: actions.Dispatch) -> errors.GatewayError:
    return errors.GatewayError(
        errors.Code.UPSTREAM_FAILED,
        step="dispatch",
        peer=dispatch.upstream,
        run=errors.RunStatus.MAY_HAVE_RUN,
    )
