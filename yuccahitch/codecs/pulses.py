"""Codec of state reports (pulses)."""

from __future__ import annotations

from yuccahitch.codecs.generated import peer_pb2 as pb
from yuccahitch.messages import peers, pulses


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
                upstream=usage.upstream, running=usage.running, prompt_tokens=usage.prompt_tokens
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
                places=capacity.places,
                taken=capacity.taken,
                wait_s=capacity.wait_s,
            )
            for capacity in pulse.rooms
        ],
        heard=[
            pb.Heard(instance=name, age_ms=int(age * 1000)) for name, age in pulse.heard.items()
        ],
        suspects=[
            pb.Suspect(
                fingerprint=suspect.fingerprint, upstream=suspect.upstream, left_ms=suspect.left_ms
            )
            for suspect in pulse.suspects
        ],
        version=pulse.version,
        wide=pulse.wide,
    )


def from_protobuf(message: pb.Pulse) -> pulses.Pulse:
    """Return the pulse that a protobuf message holds."""
    return pulses.Pulse(
        instance=message.instance,
        region=message.region,
        number=message.number,
        leaving=message.leaving,
        ready=message.ready,
        uses=[
            pulses.UpstreamUsage(
                usage.upstream, running=usage.running, prompt_tokens=usage.prompt_tokens
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
        heard={sender.instance: sender.age_ms / 1000 for sender in message.heard},
        suspects=[
            peers.SuspectRequest(
                fingerprint=suspect.fingerprint, upstream=suspect.upstream, left_ms=suspect.left_ms
            )
            for suspect in message.suspects
        ],
        version=message.version,
        wide=message.wide,
    )
