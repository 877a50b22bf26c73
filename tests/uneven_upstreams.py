"""Instances before plain upstreams of different speeds, in virtual time."""

from __future__ import annotations

import collections
import heapq
import itertools
import random

from tests import builders, edge_simulation, room_builders

SLOTS = 8
WORK_S = 0.1
# Time between the ends of two stops of an upstream, and the length of a stop, in seconds.
STOP_PERIOD_S = 5.0
STOP_S = 0.5
WARM_UP_S = 10.0


class UnevenSite:
    """Instances before upstreams that take requests in turn, SLOTS at a time.

    Attributes:
        edges: The instances.
        speeds: Speed of each upstream, by name.
        work: Number of requests that each upstream did after WARM_UP_S.
        queues: Requests that wait at each upstream.
    """

    def __init__(self, instances, speeds, *, stops, seed=5):
        self.edges = room_builders.start_edges(instances)
        self.speeds = {f"u{number}": speed for number, speed in enumerate(speeds)}
        for edge in self.edges:
            for name in self.speeds:
                edge.register_upstream(name, capacity=SLOTS)
        edge_simulation.discover_all(self.edges)
        self.stops = stops
        self.rng = random.Random(seed)
        self.start = self.now = self.edges[0].now
        self.work = collections.Counter()
        self.busy = collections.Counter()
        self.queues = {name: collections.deque() for name in self.speeds}
        self.queue_sums = collections.Counter()
        self.events = []
        self._order = itertools.count()

    def play(self, load, seconds):
        """Send requests at a share of what the upstreams can do."""
        rate = load * sum(self.speeds.values()) * SLOTS / WORK_S
        next_arrival = next_pulse = self.now
        until = self.now + seconds
        while self.now < until:
            next_end = self.events[0][0] if self.events else until
            next_at = min(next_arrival, next_pulse, next_end)
            edge_simulation.advance_clocks(self.edges, next_at - self.now)
            self.now = next_at
            if next_end <= self.now:
                self._end()
            elif next_pulse <= self.now:
                edge_simulation.exchange_pulses(self.edges)
                next_pulse += edge_simulation.PULSE_INTERVAL_S
            else:
                self._arrive()
                next_arrival = self.now + self.rng.expovariate(rate)

    def _arrive(self):
        edge = self.rng.choice(self.edges)
        outcome = edge.begin_request("/status/x")
        name = edge_simulation.dispatched_upstream(outcome)
        if not name:
            return
        if self.now > self.start + WARM_UP_S:
            self.queue_sums[name] += len(self.queues[name])
        self.queues[name].append((edge, outcome.request_id))
        self._serve(name)

    def _serve(self, name):
        """Begin requests while an upstream has free slots."""
        while self.queues[name] and self.busy[name] < SLOTS:
            self.busy[name] += 1
            edge, request_id = self.queues[name].popleft()
            work_s = WORK_S / self.speeds[name] * self.rng.uniform(0.7, 1.3)
            end = self.now + work_s + self._stop_s(name, work_s)
            heapq.heappush(self.events, (end, next(self._order), name, edge, request_id))

    def _stop_s(self, name, work_s):
        """Return for how long an upstream stops while it does some work."""
        if not self.stops:
            return 0.0
        phase = STOP_PERIOD_S * (list(self.speeds).index(name) + 1) / len(self.speeds)
        since = (self.now - self.start + phase) % STOP_PERIOD_S
        if since < STOP_S:
            return STOP_S - since
        return STOP_S if since + work_s > STOP_PERIOD_S else 0.0

    def _end(self):
        _, _, name, edge, request_id = heapq.heappop(self.events)
        self.busy[name] -= 1
        if self.now > self.start + WARM_UP_S:
            self.work[name] += 1
        edge.resume_request(request_id, builders.a_head(request_id))
        edge.finish_request(request_id)
        self._serve(name)
