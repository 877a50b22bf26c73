"""Pulses as protobuf datagrams."""

from __future__ import annotations

from google.protobuf import message as protobuf

from yuccahitch.codecs.generated import peer_pb2 as pb
from yuccahitch.messages import peers, pulses


def encode(pulse: pulses.Pulse) -> bytes:
    """Return a pulse as a datagram."""
    return pb.Pulse(
        instance=pulse.instance,
        region=pulse.region,
        number=pulse.number,
        leaving=pulse.leaving,
        ready=pulse.ready,
        uses=[
            pb.Use(upstream=u.upstream, running=u.running, prompt_tokens=u.prompt_tokens)
            for u in pulse.uses
        ],
        demands=[
            pb.Demand(account=d.account, tokens_per_s=d.tokens_per_s, overdrawn=d.overdrawn)
            for d in pulse.demands
        ],
        rooms=[
            pb.Room(service=r.service, places=r.places, taken=r.taken, wait_s=r.wait_s)
            for r in pulse.rooms
        ],
        heard=[
            pb.Heard(instance=name, age_ms=int(age * 1000)) for name, age in pulse.heard.items()
        ],
        suspects=[
            pb.Suspect(fingerprint=s.fingerprint, upstream=s.upstream, left_ms=s.left_ms)
            for s in pulse.suspects
        ],
        version=pulse.version,
        wide=pulse.wide,
    ).SerializeToString()


def decode(raw: bytes) -> pulses.Pulse:
    """Read a pulse.

    Raises:
        ValueError: When the datagram is no pulse.
    """
    try:
        found = pb.Pulse.FromString(raw)
    except protobuf.DecodeError as error:
        raise ValueError("not a pulse") from error
    if not found.instance:
        raise ValueError("a pulse without its sender")
    return pulses.Pulse(
        instance=found.instance,
        region=found.region,
        number=found.number,
        leaving=found.leaving,
        ready=found.ready,
        uses=[
            pulses.UpstreamUsage(u.upstream, running=u.running, prompt_tokens=u.prompt_tokens)
            for u in found.uses
        ],
        demands=[
            pulses.AccountDemand(d.account, tokens_per_s=d.tokens_per_s, overdrawn=d.overdrawn)
            for d in found.demands
        ],
        rooms=[
            pulses.ServiceCapacity(r.service, places=r.places, taken=r.taken, wait_s=r.wait_s)
            for r in found.rooms
        ],
        heard={h.instance: h.age_ms / 1000 for h in found.heard},
        suspects=[
            peers.SuspectRequest(fingerprint=s.fingerprint, upstream=s.upstream, left_ms=s.left_ms)
            for s in found.suspects
        ],
        version=found.version,
        wide=found.wide,
    )
