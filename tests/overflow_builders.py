"""Builders of instances in two regions that forward requests to each other, in virtual time."""

from __future__ import annotations

import heapq
import itertools
import random

from tests import edge_simulation, platform_builders
from yuccahitch.controllers.placement import assignments, remote_regions
from yuccahitch.messages import peers
from yuccahitch.resources import service as services

REGIONS = ("east", "west")
SLOTS = 10
WORK_S = 0.5
LINK_BYTES_PER_S = 2_000_000.0
LINK_SHARE = 0.5
# Gain that justifies another region, in seconds.
SPILL_GAIN_S = 0.1


class Forward:
    """A forwarded request.

    Attributes:
        at: When it was forwarded, in virtual seconds.
        region: Region that forwarded it.
        size: Bytes of its body and its answer.
    """

    def __init__(self, at: float, region: str, size: float) -> None:
        self.at = at
        self.region = region
        self.size = size


class OverflowSite:
    """Instances of two regions, with upstreams of a plain service in each.

    Args:
        instances: Number of instances of each region.
        link_share: Fraction of the link that forwards may take; 0 for no bound.

    Attributes:
        edges: The instances by region.
        remotes: What decides about forwards, by instance.
        cut: Whether the link between the regions is cut.
        forwards: The forwarded requests.
        queued: Requests that waited for a slot, counted again for each that waited before them.
    """

    def __init__(self, *, instances: int, link_share: float = LINK_SHARE, upstreams: int = 2):
        self.rng = random.Random(3)
        self.service = services.Service(name="desk", kind=services.PLAIN)
        self.edges = {
            region: [
                platform_builders.EdgeUnderTest(f"{region}-{n}", region=region)
                for n in range(instances)
            ]
            for region in REGIONS
        }
        self.upstreams = {
            region: [f"{region}-u{n}" for n in range(upstreams)] for region in REGIONS
        }
        self.running = {name: 0 for names in self.upstreams.values() for name in names}
        for edge, (region, names) in itertools.product(self.all_edges, self.upstreams.items()):
            edge.decisions.members.own.ready = True
            edge.publish(platform_builders.a_publication())
            for name in names:
                edge.register_upstream(name, zone=f"{region}-a", capacity=SLOTS)
        edge_simulation.discover_all(self.all_edges)
        self.remotes = {
            edge: remote_regions.RemoteRegions(
                members=edge.decisions.members,
                registry=edge.decisions.registry,
                work=edge.decisions.balancer.estimates,
                rng=random.Random(number),
                link_bytes_per_s=LINK_BYTES_PER_S,
                link_delay_s=0.055,
                link_share=link_share,
            )
            for number, edge in enumerate(self.all_edges)
        }
        for edge in self.all_edges:
            for _ in range(200):
                edge.decisions.balancer.estimates.record_work_time("desk", WORK_S)
        self.cut = False
        self.ends: list[tuple[float, int, platform_builders.EdgeUnderTest, str]] = []
        self.numbers = itertools.count()
        self.forwards: list[Forward] = []
        self.queued = 0
        self.pulse_at = 0.0

    @property
    def all_edges(self) -> list[platform_builders.EdgeUnderTest]:
        """Return the instances of all regions."""
        return [edge for edges in self.edges.values() for edge in edges]

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return self.edges["east"][0].now

    def advance(self, seconds: float) -> None:
        """Advance the time, end requests and exchange pulses when they are due."""
        edge_simulation.advance_clocks(self.all_edges, seconds)
        while self.ends and self.ends[0][0] <= self.now:
            _, _, edge, name = heapq.heappop(self.ends)
            edge.decisions.registry.record_end(name)
            self.running[name] -= 1
        if self.now >= self.pulse_at:
            self.pulse_at = self.now + edge_simulation.PULSE_INTERVAL_S
            self.exchange_pulses()

    def exchange_pulses(self) -> None:
        """Deliver the pulse of each instance to all others, but not over a cut link."""
        for edge, other in itertools.permutations(self.all_edges, 2):
            is_far = edge.decisions.members.own.region != other.decisions.members.own.region
            if not (self.cut and is_far):
                edge.receive_pulse_from(other)

    def fill(self, region: str, requests: int, *, seconds: float) -> None:
        """Let the first instance of a region run more requests, spread over its upstreams."""
        for name in itertools.islice(itertools.cycle(self.upstreams[region]), requests):
            self.run(self.edges[region][0], name, seconds=seconds)

    def run(self, edge, name: str, *, seconds: float = WORK_S) -> None:
        """Let an upstream run a request of an instance."""
        edge.decisions.registry.record_dispatch(name, prompt_tokens=0, now=edge.now)
        self.running[name] += 1
        self.queued += max(0, self.running[name] - SLOTS)
        heapq.heappush(self.ends, (self.now + seconds, next(self.numbers), edge, name))

    def send(self, region: str, *, body_bytes: int = 5_000, regions=None) -> bool:
        """Place a request at any instance of a region, and return whether it was forwarded."""
        edge = self.rng.choice(self.edges[region])
        option = self.option(edge, body_bytes=body_bytes, regions=regions)
        local_s, local_name = self.local_choice(edge)
        is_homed = regions is not None and region not in regions
        if option is None or not (is_homed or option[0] + SPILL_GAIN_S < local_s):
            assert not is_homed, "no option for a request whose data must stay elsewhere"
            self.run(edge, local_name)
            return False
        _, info = option
        remote = self.remotes[edge]
        remote.count_forward(info.region, "desk", edge.now, body_bytes=body_bytes)
        size = body_bytes + remote.budget.forward_bytes("desk", 0) if remote.budget else body_bytes
        self.forwards.append(Forward(self.now, region, size))
        (receiver,) = [e for e in self.all_edges if e.decisions.members.own is info] or [
            self.edges[info.region][0]
        ]
        self.run(receiver, self.local_choice(receiver)[1])
        return True

    def option(
        self, edge, *, body_bytes: int = 5_000, regions=None
    ) -> tuple[float, peers.InstanceInfo] | None:
        """Return an instance's estimate for the other region, and an instance there."""
        request = assignments.PlacementRequest(
            request_id=f"r{next(self.numbers)}",
            service=self.service,
            regions=regions,
            parts=(),
            body_bytes=body_bytes,
            left_s=5.0,
            avoid=(),
            local_only=False,
        )
        return self.remotes[edge].choose(request, "", edge.now)

    def local_choice(self, edge) -> tuple[float, str]:
        """Return the least wait at the upstreams of an instance's region, and the upstream."""
        uses = edge.decisions.members.near_uses(edge.now)
        waits = []
        for replica in edge.decisions.registry.usable("desk", edge.now):
            name = replica.upstream.name
            wait_s = edge.decisions.balancer.loads.wait(replica, self.service, uses, edge.now)
            waits.append((wait_s, self.rng.random(), name))
        wait_s, _, name = min(waits)
        return wait_s, name
