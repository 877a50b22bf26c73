"""Upstreams in virtual time that crash on some prompt parts, before instances on a platform."""

from __future__ import annotations

import heapq
import itertools
import random

from tests import edge_simulation, platform_builders
from yuccahitch import errors
from yuccahitch.messages import actions, answers

PREFILL_S = 0.15
ANSWER_S = 0.4
# Time until the entry of a crashed upstream is removed, and until its successor registers.
ENTRY_LAPSES_S = 1.5
DOWN_S = 3.0


class Attempt:
    """A request at an instance, with the attempt at another instance that forwarded it here."""

    __slots__ = ("edge", "request_id", "parent", "upstream", "attempt", "began", "work")

    def __init__(self, edge, request_id, parent=None):
        self.edge = edge
        self.request_id = request_id
        self.parent = parent
        self.upstream = ""
        self.attempt = 0
        self.began = False
        self.work = None


class CrashSite:
    """Instances, and upstreams that crash as they begin to answer a request with a crashing part.

    Attributes:
        edges: Instances by id.
        running: Attempts at each upstream that is up.
        crashing_parts: Ids of the parts that crash upstreams.
        crash_times: Times of the crashes by crashing part.
        crashing_sends: Times at which requests with a part were sent to an upstream, by part.
        first_attempts: Time, tag and whether it began to answer, of each request's first attempt.
        refusals: Time, tag and error of each refused request.
    """

    __slots__ = (
        "edges",
        "rng",
        "running",
        "crashing_parts",
        "crash_times",
        "crashing_sends",
        "first_attempts",
        "refusals",
        "tags",
        "parts",
        "agenda",
        "numbers",
        "pulse_at",
    )

    def __init__(self, regions, *, crashing_parts, upstreams_per_region=4):
        self.rng = random.Random(11)
        self.numbers = itertools.count(1)
        instances = [
            platform_builders.EdgeUnderTest(f"edge-{number}", region=region)
            for number, region in enumerate(regions)
        ]
        self.edges = {edge.decisions.instance: edge for edge in instances}
        self.running = {}
        self.crashing_parts = frozenset(crashing_parts)
        self.crash_times = {part: [] for part in crashing_parts}
        self.crashing_sends = {part: [] for part in crashing_parts}
        self.first_attempts, self.refusals, self.agenda = [], [], []
        self.tags, self.parts = {}, {}
        self.pulse_at = 0.0
        for edge in instances:
            edge.publish(platform_builders.a_publication())
        for region in sorted(set(regions)):
            for _ in range(upstreams_per_region):
                self.register_upstream(region)
        edge_simulation.discover_all(instances)

    @property
    def now(self):
        """Return the virtual time."""
        return next(iter(self.edges.values())).now

    def register_upstream(self, region):
        """Start an upstream under a new name."""
        name = f"{region}-{next(self.numbers)}"
        self.running[name] = []
        for edge in self.edges.values():
            edge.register_upstream(name, service="model", zone=f"{region}-a", capacity=64)

    def at(self, seconds, action, *arguments):
        """Call a function some seconds from now."""
        heapq.heappush(self.agenda, (self.now + seconds, next(self.numbers), action, arguments))

    def run(self, seconds):
        """Advance the time, with pulses between the instances."""
        end = self.now + seconds
        while self.now < end:
            while self.agenda and self.agenda[0][0] <= self.now:
                _, _, action, arguments = heapq.heappop(self.agenda)
                action(*arguments)
            if self.now >= self.pulse_at:
                self.pulse_at = self.now + edge_simulation.PULSE_INTERVAL_S
                self.exchange_pulses()
            edge_simulation.advance_clocks(self.edges.values(), edge_simulation.STEP_S)

    def exchange_pulses(self):
        """Let every instance do its periodic work and receive the pulse of every other one."""
        for edge, other in itertools.permutations(self.edges.values(), 2):
            edge.decisions.tick(edge.now)
            edge.receive_pulse_from(other)

    def send(self, edge, tag, parts, path="/plan/x", body=b""):
        """Let a caller send a request whose prompt has some parts before its own."""
        request_id = f"c{next(self.numbers)}"
        self.tags[request_id] = tag
        self.parts[request_id] = frozenset(parts)
        prefix = ",".join(f"{part}:100" for part in (*parts, f"own{request_id}"))
        headers = {"X-Request-Id": request_id, "X-Prefix-Hash": prefix}
        outcome = edge.begin_request(path, body=body or request_id.encode(), **headers)
        self.carry_out(Attempt(edge, request_id), outcome)

    def carry_out(self, attempt, outcome):
        """Carry out what an instance decided about a request."""
        action = outcome.action
        if type(action) is actions.Refuse:
            self.end(attempt, action.error)
        elif type(action) is actions.Perform:
            attempt.began = False
            self.start(attempt, action.work)
        elif attempt.parent is not None:
            self.reply(attempt.parent, a_head(attempt.request_id))

    def start(self, attempt, work):
        """Start work at an upstream, or at the instance that it is forwarded to."""
        attempt.work = work
        attempt.attempt = work.attempt
        if type(work) is actions.Forward:
            other = self.edges[work.instance]
            child = Attempt(other, attempt.request_id, parent=attempt)
            self.carry_out(child, other.decisions.begin(work.request, work.hop, self.now))
            return
        attempt.upstream = work.upstream
        if work.upstream not in self.running:
            self.fail(attempt, errors.Code.UPSTREAM_REFUSED, may_have_run=False)
            return
        for part in self.crashing_parts_of(attempt):
            self.crashing_sends[part].append(self.now)
        self.running[work.upstream].append(attempt)
        self.at(PREFILL_S, self.begin_answer, attempt, work.upstream)

    def begin_answer(self, attempt, upstream):
        """Let an upstream begin its answer, or crash."""
        if attempt not in self.running.get(upstream, ()):
            return
        crashing_parts = self.crashing_parts_of(attempt)
        if crashing_parts:
            for part in crashing_parts:
                self.crash_times[part].append(self.now)
            self.crash(upstream)
            return
        attempt.began = True
        self.reply(attempt, a_head(attempt.request_id))
        self.record_first_attempt(attempt, began=True)
        self.at(ANSWER_S, self.end_answer, attempt, upstream)

    def crashing_parts_of(self, attempt):
        """Return the crashing parts in the prompt of a request."""
        return self.parts[attempt.request_id] & self.crashing_parts

    def end_answer(self, attempt, upstream):
        """Complete an answer, unless its upstream has crashed."""
        if attempt in self.running.get(upstream, ()):
            self.running[upstream].remove(attempt)
            self.end(attempt, None)

    def crash(self, upstream):
        """Crash an upstream: all that run there fail; it returns as a new one."""
        region = upstream.partition("-")[0]
        for attempt in self.running.pop(upstream):
            self.record_first_attempt(attempt, began=attempt.began)
            self.fail(attempt, errors.Code.UPSTREAM_FAILED, may_have_run=True)
        self.at(ENTRY_LAPSES_S, self.remove_entry, upstream)
        self.at(DOWN_S, self.register_upstream, region)

    def remove_entry(self, upstream):
        """Remove the entry of an upstream."""
        for edge in self.edges.values():
            edge.decisions.registry.apply_change(upstream, None, edge.now)

    def record_first_attempt(self, attempt, *, began):
        """Record the fate of a caller's first attempt."""
        if attempt.attempt == 1 and (attempt.parent is None or attempt.parent.attempt == 1):
            self.first_attempts.append((self.now, self.tags[attempt.request_id], began))

    def fail(self, attempt, code, *, may_have_run):
        """Let an attempt fail at its upstream."""
        run = errors.RunStatus.MAY_HAVE_RUN if may_have_run else errors.RunStatus.NOT_RUN
        error = errors.GatewayError(code, step="send", peer=attempt.upstream, run=run)
        self.reply(attempt, a_failure(attempt, error, crashed=may_have_run))

    def reply(self, attempt, part):
        """Give an instance a part of an answer or the failure of an attempt."""
        self.carry_out(attempt, attempt.edge.resume_request(attempt.request_id, part))

    def end(self, attempt, error):
        """End a request at an instance, and at the one that forwarded it."""
        attempt.edge.finish_request(attempt.request_id, succeeded=error is None, error=error)
        if attempt.parent is None:
            if error is not None:
                self.refusals.append((self.now, self.tags[attempt.request_id], error))
        elif error is None:
            self.end(attempt.parent, None)
        else:
            crashed = error.code is errors.Code.UPSTREAM_FAILED
            self.reply(attempt.parent, a_failure(attempt.parent, error, crashed=crashed))


def a_head(request_id):
    """Return the head of an answer with status 200."""
    return answers.Head(request_id=request_id, attempt=1, status=200, headers=(), source="u")


def a_failure(attempt, error, *, crashed):
    """Return the failure of an attempt."""
    return answers.Failure(
        request_id=attempt.request_id, attempt=attempt.attempt, error=error, crashed=crashed
    )
