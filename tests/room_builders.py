"""Builders of instances before engines of limited memory, in virtual time."""

from __future__ import annotations

import collections
import heapq
import itertools
import random

from tests import edge_simulation, platform_builders
from yuccahitch.messages import actions, upstream_notices

REGION_ZONES = {"east": "east-a", "west": "west-a"}
PATH = "/ask/x"
SLOTS = 64
POLICY = {"engine_memory": "on", "upstream_speeds": "on"}

_parts = itertools.count(1)


def start_edges(count, *, region="east", now=1000.0):
    """Return ready instances of a region that know each other."""
    edges = [
        platform_builders.EdgeUnderTest(f"{region}-{number}", region=region, now=now, policy=POLICY)
        for number in range(count)
    ]
    for edge in edges:
        edge.publish(platform_builders.a_publication())
    return edges


def register_engines(edges, names, *, region="east", born=1):
    """Register engines at all instances."""
    for edge in edges:
        for name in names:
            edge.register_upstream(
                name,
                service="model",
                zone=REGION_ZONES[region],
                capacity=SLOTS,
                born=born,
                address=f"127.0.0.1:{sum(name.encode())}",
            )


def report_memory(edge, name, *, total, used=0):
    """Let an instance receive a report of an engine's memory."""
    notice = upstream_notices.UpstreamNotice(
        name,
        incarnation=edge.decisions.registry.incarnation(name),
        memory=upstream_notices.MemoryReport(total_tokens=total, used_tokens=used),
    )
    edge.decisions.on_upstream_notice(notice, edge.now)


def ask_for_pause(edge, name, pause_s):
    """Let an instance receive an engine's wish for no requests, for a time in seconds."""
    incarnation = edge.decisions.registry.incarnation(name)
    notice = upstream_notices.UpstreamNotice(name, incarnation=incarnation, pause_s=pause_s)
    edge.decisions.on_upstream_notice(notice, edge.now)


def begin(edge, tokens, *, shared=""):
    """Begin a request of some tokens, a tenth of them for the answer.

    Args:
        edge: The instance.
        tokens: Tokens of the request without its shared part.
        shared: Shared part, as ``ID:TOKENS``, or empty.
    """
    output = tokens // 10
    own_part = f"{next(_parts):x}:{tokens - output}"
    shared_tokens = int(shared.partition(":")[2] or 0)
    headers = {
        "X-Token-Usage": f"{tokens - output + shared_tokens},{output}",
        "X-Prefix-Hash": ",".join(part for part in (shared, own_part) if part),
    }
    return edge.begin_request(PATH, **headers)


def refusal(outcome):
    """Return the error by which a request was refused, or None."""
    return outcome.action.error if type(outcome.action) is actions.Refuse else None


class EngineSite:
    """Instances before engines; counts what the engines really hold.

    Each sends a pulse each 0.25 s, one after the other. Requests run for about WORK_S.

    Attributes:
        edges: The instances.
        held: Tokens that each engine holds.
        peak: The most that each engine held.
        placed: Number of requests that engines got.
        refused: Number of refused requests.
    """

    WORK_S = 1.0

    def __init__(self, instances, engines, *, total, seed=11):
        self.edges = start_edges(instances)
        self.names = [f"g{number}" for number in range(engines)]
        register_engines(self.edges, self.names)
        edge_simulation.discover_all(self.edges)
        for edge in self.edges:
            for name in self.names:
                report_memory(edge, name, total=total)
        self.rng = random.Random(seed)
        self.now = self.edges[0].now
        self.pulses = [
            (self.now + index * edge_simulation.PULSE_INTERVAL_S / instances, index)
            for index in range(instances)
        ]
        self.ends = []
        self.held = collections.Counter()
        self.peak = collections.Counter()
        self.placed = 0
        self.refused = 0
        self._order = itertools.count()

    def send(self, tokens):
        """Send a request of some tokens to a random instance."""
        edge = self.rng.choice(self.edges)
        outcome = begin(edge, tokens)
        name = edge_simulation.dispatched_upstream(outcome)
        if not name:
            self.refused += 1
            return
        self.placed += 1
        self.held[name] += tokens
        self.peak[name] = max(self.peak[name], self.held[name])
        ends_at = self.now + self.WORK_S * self.rng.uniform(0.7, 1.3)
        end = (ends_at, next(self._order), edge, outcome.request_id, name, tokens)
        heapq.heappush(self.ends, end)

    def run_until(self, until):
        """Advance the time; end requests and exchange pulses when they are due."""
        while min(self.pulses[0][0], self._next_end()) <= until:
            self._advance(min(self.pulses[0][0], self._next_end()))
            if self.now >= self.pulses[0][0]:
                self._send_pulse()
            while self._next_end() <= self.now:
                _, _, edge, request_id, name, tokens = heapq.heappop(self.ends)
                edge.finish_request(request_id)
                self.held[name] -= tokens
        self._advance(until)

    def _send_pulse(self):
        """Deliver the pulse that is due to the other instances."""
        due_at, index = heapq.heappop(self.pulses)
        sender = self.edges[index]
        raw = sender.encode_pulse()
        for edge in self.edges:
            if edge is not sender:
                edge.receive_pulse(raw)
        heapq.heappush(self.pulses, (due_at + edge_simulation.PULSE_INTERVAL_S, index))

    def _next_end(self):
        return self.ends[0][0] if self.ends else float("inf")

    def _advance(self, now):
        edge_simulation.advance_clocks(self.edges, max(0.0, now - self.now))
        self.now = max(self.now, now)
