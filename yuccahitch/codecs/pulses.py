"""Codec of state reports (pulses)."""

from __future__ import annotations

import math

from yuccahitch.codecs import suspects
from yuccahitch.codecs.generated import peer_pb2 as pb
from yuccahitch.messages import pulses

# Ages of reports are sent in tenths of a second, rounded up.
TENTHS_PER_S = 10
MS_PER_S = 1000
# Largest number that a field of a report holds; larger ones say no more.
MAX_COUNT = 2**32 - 1


def to_protobuf(pulse: pulses.Pulse) -> pb.Pulse:
    """Return a pulse as a protobuf message."""
    return pb.Pulse(
        instance=pulse.instance,
        region=pulse.region,
        number=pulse.number,
        leaving=pulse.leaving,
        ready=pulse.ready,
        uses=[
            pb.Use(
                upstream=usage.upstream,
                running=min(usage.running, MAX_COUNT),
                prompt_tokens=min(usage.prompt_tokens, MAX_COUNT),
                held_tokens=min(usage.held_tokens, MAX_COUNT),
            )
            for usage in pulse.uses
        ],
        demands=[
            pb.Demand(
                account=demand.account, tokens_per_s=demand.tokens_per_s, overdrawn=demand.overdrawn
            )
            for demand in pulse.demands
        ],
        rooms=[
            pb.Room(
                service=capacity.service,
                places=min(capacity.places, MAX_COUNT),
                taken=min(capacity.taken, MAX_COUNT),
                wait_s=capacity.wait_s,
            )
            for capacity in pulse.rooms
        ],
        heard_ids=pulse.heard.keys(),
        heard_tenths=[math.ceil(age_s * TENTHS_PER_S) for age_s in pulse.heard.values()],
        suspects=suspects.to_protobuf(pulse.suspects),
        limits=[
            pb.UpstreamLimit(
                incarnation=limit.incarnation,
                requests_per_s=limit.requests_per_s,
                age_ms=round(limit.age_s * MS_PER_S),
            )
            for limit in pulse.limits
        ],
        departures=pulse.departures,
        version=pulse.version,
        wide=pulse.wide,
        urgencies=[
            pb.UrgencyDemand(
                service=demand.service,
                priority=demand.priority,
                requests_per_s=demand.requests_per_s,
                work_per_s=demand.work_per_s,
            )
            for demand in pulse.urgencies
        ],
    )


def from_protobuf(message: pb.Pulse) -> pulses.Pulse:
    """Return the pulse that a protobuf message holds.

    Raises:
        ValueError: When the ids and the ages of heard instances differ in number.
    """
    return pulses.Pulse(
        instance=message.instance,
        region=message.region,
        number=message.number,
        leaving=message.leaving,
        ready=message.ready,
        uses=[
            pulses.UpstreamUsage(
                usage.upstream,
                running=usage.running,
                prompt_tokens=usage.prompt_tokens,
                held_tokens=usage.held_tokens,
            )
            for usage in message.uses
        ],
        demands=[
            pulses.AccountDemand(
                demand.account, tokens_per_s=demand.tokens_per_s, overdrawn=demand.overdrawn
            )
            for demand in message.demands
        ],
        rooms=[
            pulses.ServiceCapacity(
                capacity.service,
                places=capacity.places,
                taken=capacity.taken,
                wait_s=capacity.wait_s,
            )
            for capacity in message.rooms
        ],
        heard={
            short_id: tenths / TENTHS_PER_S
            for short_id, tenths in zip(message.heard_ids, message.heard_tenths, strict=True)
        },
        suspects=suspects.from_protobuf(message.suspects),
        limits=[
            pulses.UpstreamLimit(
                limit.incarnation,
                requests_per_s=limit.requests_per_s,
                age_s=limit.age_ms / MS_PER_S,
            )
            for limit in message.limits
        ],
        departures=list(message.departures),
        version=message.version,
        wide=message.wide,
        urgencies=[
            pulses.UrgencyDemand(
                demand.service,
                priority=demand.priority,
                requests_per_s=demand.requests_per_s,
                work_per_s=demand.work_per_s,
            )
            for demand in message.urgencies
        ],
    )
