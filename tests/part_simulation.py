"""Simulates instances that place prompts with shared parts on model upstreams, in virtual time."""

from __future__ import annotations

import collections
import random

from tests import edge_simulation, platform_builders
from yuccahitch.controllers.placement import assignments, estimates, prompt_parts
from yuccahitch.controllers.upstream_state import replica_state
from yuccahitch.resources import service as services

SLOTS = 8
WORK_S = 0.6
# Time after the last use within which a part that is read again counts, in seconds.
REUSE_S = 10.0
# Prompt tokens that an upstream keeps.
KEPT_TOKENS = 90_000
KINDS = 3
KIND_TOKENS = 400
SUBJECTS = 80
SUBJECT_TOKENS = 3_000
# Cost of running a request at an upstream whose slots are all taken, in seconds.
CROWDING_S = 0.6
REREAD_S = 0.15


class Engine:
    """A model upstream that keeps the prompt parts used last.

    Attributes:
        kept: Tokens of the parts in memory, the part used least recently first.
        runs: Ends of the running requests, in virtual seconds, with the instances that sent them.
    """

    def __init__(self) -> None:
        self.kept: collections.OrderedDict[str, int] = collections.OrderedDict()
        self.runs: list[tuple[float, platform_builders.EdgeUnderTest]] = []

    def read(self, parts) -> list[tuple[str, int]]:
        """Read a prompt, and return the parts that were not in memory after those before them."""
        names = [name for name, _ in parts]
        known = next((i for i, name in enumerate(names) if name not in self.kept), len(names))
        for name, tokens in parts:
            self.kept[name] = tokens
            self.kept.move_to_end(name)
        while sum(self.kept.values()) > KEPT_TOKENS:
            self.kept.popitem(last=False)
        return list(parts[known:])


def a_prompt(part: str) -> tuple[tuple[str, int], ...]:
    """Return a prompt with a shared part."""
    return ((part, SUBJECT_TOKENS), ("own", 100))


def count_running(replica: replica_state.Replica, uses: dict[str, tuple[int, int]]) -> int:
    """Return the requests of all instances that an upstream runs, as far as one was told."""
    return replica.running + uses.get(replica.upstream.name, (0, 0))[0]


class PartSite:
    """Instances of one region with model upstreams, and callers whose prompts share parts.

    Args:
        instances: Number of instances.
        engines: Number of upstreams.
        max_holders: Most holders of a part; 0 as before there were several.

    Attributes:
        edges: The instances.
        engines: The upstreams by name.
        parts: What decides about prompt parts at each instance.
        down: Names of the upstreams that are ejected at the moment.
        read_tokens: Tokens of shared parts that upstreams read.
        reread_tokens: Those of them that some upstream had read within REUSE_S.
        readers: Upstreams that read each part.
        queued: Requests that waited for a slot, counted again for each that waited before them.
    """

    def __init__(self, *, instances: int, engines: int, max_holders: int) -> None:
        self.rng = random.Random(5)
        self.max_holders = max_holders
        self.edges = [
            platform_builders.EdgeUnderTest(f"edge-{number}") for number in range(instances)
        ]
        self.service = services.Service(name="model", kind=services.MODEL)
        self.engines: dict[str, Engine] = {}
        self.starts = 0
        for edge in self.edges:
            edge.publish(platform_builders.a_publication())
        for number in range(engines):
            self.add_engine(f"m{number}")
        edge_simulation.discover_all(self.edges)
        self.parts = [
            prompt_parts.PromptParts(
                edge.decisions.registry, members=edge.decisions.members, max_holders=max_holders
            )
            for edge in self.edges
        ]
        self.down: set[str] = set()
        self.last_used: dict[str, float] = {}
        self.read_tokens = 0
        self.reread_tokens = 0
        self.readers: dict[str, set[str]] = collections.defaultdict(set)
        self.queued = 0
        self.pulse_at = 0.0

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return self.edges[0].now

    def add_engine(self, name: str, *, zone: str = "east-a") -> None:
        """Register an empty upstream, or one that has started again."""
        self.engines[name] = Engine()
        self.starts += 1
        for edge in self.edges:
            edge.register_upstream(
                name, service="model", capacity=SLOTS, zone=zone, born=self.starts
            )

    def remove_engine(self, name: str) -> None:
        """Let an upstream leave."""
        for edge in self.edges:
            born = edge.decisions.registry.by_name[name].upstream.born_ms
            edge.register_upstream(
                name, service="model", capacity=SLOTS, state="draining", born=born
            )

    def fill_engine(self, name: str, *, seconds: float, requests: int = 2 * SLOTS) -> None:
        """Let the first instance run requests at an upstream, by default more than it has slots."""
        edge = self.edges[0]
        for _ in range(requests):
            edge.decisions.registry.record_dispatch(name, prompt_tokens=0, now=edge.now)
            self.engines[name].runs.append((self.now + seconds, edge))

    def advance(self, seconds: float) -> None:
        """Advance the time, end requests and exchange pulses when they are due."""
        edge_simulation.advance_clocks(self.edges, seconds)
        for name, engine in self.engines.items():
            for _, edge in [run for run in engine.runs if run[0] <= self.now]:
                edge.decisions.registry.record_end(name)
            engine.runs = [run for run in engine.runs if run[0] > self.now]
        if self.now >= self.pulse_at:
            self.pulse_at = self.now + edge_simulation.PULSE_INTERVAL_S
            edge_simulation.exchange_pulses(self.edges)

    def any_prompt(self, subjects: int = SUBJECTS) -> tuple[tuple[str, int], ...]:
        """Return a prompt with a common part and one of a skewed set of subjects."""
        weights = [1 / (rank + 1) for rank in range(subjects)]
        (subject,) = self.rng.choices(range(subjects), weights)
        own = f"own{self.rng.getrandbits(64)}"
        return (
            (f"kind{subject % KINDS}", KIND_TOKENS),
            (f"subject{subject}", SUBJECT_TOKENS),
            (own, 100),
        )

    def send(self, prompt: tuple[tuple[str, int], ...], *, seconds: float = WORK_S) -> str:
        """Place a request at any instance, and return the name of the upstream that runs it."""
        number = self.rng.randrange(len(self.edges))
        edge = self.edges[number]
        request = self._a_request(prompt)
        self.parts[number].record_request(request, edge.now)
        name = self._choose(edge, self.parts[number], request)
        replica = edge.decisions.registry.by_name[name]
        replica.record_parts(part for part, _ in prompt)
        edge.decisions.registry.record_dispatch(name, prompt_tokens=0, now=edge.now)
        engine = self.engines[name]
        engine.runs.append((self.now + seconds, edge))
        self.queued += max(0, len(engine.runs) - SLOTS)
        self._count_reads(name, engine.read(prompt), prompt)
        return name

    def play(self, *, rate: int, seconds: float, subjects: int = SUBJECTS) -> None:
        """Send requests at a rate, in requests a second."""
        for _ in range(round(rate * seconds)):
            self.send(self.any_prompt(subjects))
            self.advance(1 / rate)

    def holders(self, prompt, *, regions: frozenset[str] | None = None) -> set[str]:
        """Return the upstreams that instances take for the holder of a prompt's shared part."""
        request = self._a_request(prompt, regions)
        return {parts.holder(request, self.now) for parts in self.parts}

    def holder_counts(self, prompt) -> list[int]:
        """Return how many holders of a prompt's shared part each instance counts."""
        return [
            len(self._narrow(edge, parts, self._a_request(prompt)))
            for edge, parts in zip(self.edges, self.parts, strict=True)
        ]

    def choices(self, prompt) -> set[str]:
        """Return the upstreams that the instances would choose for a prompt."""
        request = self._a_request(prompt)
        return {
            self._choose(edge, parts, request)
            for edge, parts in zip(self.edges, self.parts, strict=True)
        }

    def narrowed(self, prompt) -> list[str]:
        """Return the upstreams among which the first instance places a prompt."""
        request = self._a_request(prompt)
        return [r.upstream.name for r in self._narrow(self.edges[0], self.parts[0], request)]

    def ask(self, prompt, times: int) -> None:
        """Count requests for a prompt at the first instance, which doesn't place them."""
        for _ in range(times):
            self.parts[0].record_request(self._a_request(prompt), self.now)

    def _a_request(self, prompt, regions=None) -> assignments.PlacementRequest:
        return assignments.PlacementRequest(
            request_id=prompt[-1][0],
            service=self.service,
            regions=regions,
            parts=prompt,
            body_bytes=0,
            left_s=5.0,
            avoid=(),
            local_only=False,
        )

    def _narrow(self, edge, parts, request) -> list[replica_state.Replica]:
        """Return the upstreams among which an instance places a request."""
        candidates = [
            replica
            for replica in edge.decisions.registry.usable("model", edge.now)
            if replica.upstream.name not in self.down
        ]
        uses = edge.decisions.members.near_uses(edge.now)
        return parts.narrow(
            request, candidates, lambda replica: count_running(replica, uses) / SLOTS, edge.now
        )

    def _choose(self, edge, parts, request) -> str:
        """Return the upstream where a request costs the least time."""
        uses = edge.decisions.members.near_uses(edge.now)
        holder = parts.holder(request, edge.now)
        costs_s = []
        for replica in self._narrow(edge, parts, request):
            unread = prompt_parts.unread_tokens(replica, request.parts, holder)
            running = count_running(replica, uses)
            cost_s = unread / estimates.PREFILL_TOKENS_PER_S + running / SLOTS * CROWDING_S
            cost_s += REREAD_S if unread > request.parts[-1][1] else 0.0
            cost_s += max(0, running + 1 - SLOTS) * WORK_S / SLOTS
            costs_s.append((cost_s, self.rng.random(), replica.upstream.name))
        return min(costs_s)[2]

    def _count_reads(self, name, read, prompt) -> None:
        """Count the shared parts that an upstream read, and those that one had read lately."""
        for part, tokens in read:
            if part == prompt[-1][0]:
                continue
            self.read_tokens += tokens
            self.readers[part].add(name)
            if self.now - self.last_used.get(part, -REUSE_S) < REUSE_S:
                self.reread_tokens += tokens
        for part, _ in prompt:
            self.last_used[part] = self.now
