"""Codec of the protobuf messages between instances."""

from __future__ import annotations

import functools
import math
import typing

from yuccahitch import errors
from yuccahitch.codecs import header_text, resources, suspects
from yuccahitch.codecs.generated import peer_pb2 as pb
from yuccahitch.messages import actions, answers, peers, requests
from yuccahitch.resources import entry

STEP = "peer-codec"
# Error details sent to a peer are cut to this length.
MAX_DETAIL_CHARACTERS = 500
# Largest age that a message can hold, in milliseconds.
MAX_AGE_MS = 2**32 - 1
REQUEST_KINDS = frozenset((requests.CHAT, requests.CALL, requests.PROXY))


def to_envelope(body: peers.Body, *, stamp: int) -> pb.Envelope:
    """Encode a message in an envelope.

    Args:
        body: The message.
        stamp: Hybrid logical time at the sender, in microseconds.
    """
    envelope = pb.Envelope(stamp=stamp)
    _set_body(body, envelope)
    return envelope


def from_envelope(envelope: pb.Envelope) -> peers.Body:
    """Decode the message in an envelope.

    Raises:
        errors.GatewayError: ``peer-invalid`` when the envelope holds no known message.
    """
    name = envelope.WhichOneof("body")
    if name is None:
        raise errors.GatewayError(
            errors.Code.PEER_INVALID, step=STEP, detail="the envelope contains no known message"
        )
    return _decode_body(getattr(envelope, name))


@functools.singledispatch
def _set_body(body: peers.Body, envelope: pb.Envelope) -> None:
    """Set the field of the envelope that holds messages of this type."""
    raise TypeError(type(body))


@_set_body.register
def _(body: peers.Gossip, envelope: pb.Envelope) -> None:
    gossip = envelope.gossip
    gossip.sender.CopyFrom(pb.Row(**body.sender.as_dict()))
    gossip.rows.extend(pb.Row(**info.as_dict()) for info in body.rows)
    gossip.beats.extend(pb.Beat(**beat.as_dict()) for beat in body.beats)
    gossip.unknown.extend(body.unknown)
    gossip.digest = body.digest
    gossip.arrivals = body.arrivals
    gossip.loads.extend(pb.Load(**load.as_dict()) for load in body.loads)
    gossip.suspects.CopyFrom(suspects.to_protobuf(body.suspects))


@_set_body.register
def _(body: peers.Entries, envelope: pb.Envelope) -> None:
    message = envelope.entries
    message.arrivals = body.arrivals
    message.digest = body.digest
    if body.age_s is not None:
        message.age_ms = min(MAX_AGE_MS, math.ceil(body.age_s * 1000))
    message.entries.extend(
        pb.Entry(
            kind=item.kind,
            name=item.name,
            version=item.version,
            write_id=item.write_id,
            spec=resources.spec_to_bytes(item.spec),
        )
        for item in body.entries
    )


@_set_body.register
def _(body: peers.PullEntries, envelope: pb.Envelope) -> None:
    envelope.pull_entries.CopyFrom(pb.PullEntries(**body.as_dict()))


@_set_body.register
def _(body: peers.LoanRequest, envelope: pb.Envelope) -> None:
    envelope.borrow.CopyFrom(pb.Borrow(**body.as_dict()))


@_set_body.register
def _(body: peers.Loan, envelope: pb.Envelope) -> None:
    envelope.loan.CopyFrom(pb.Loan(**body.as_dict()))


@_set_body.register
def _(body: peers.ReturnLoan, envelope: pb.Envelope) -> None:
    envelope.return_loan.CopyFrom(pb.ReturnLoan(**body.as_dict()))


@_set_body.register
def _(body: peers.SlicesChanged, envelope: pb.Envelope) -> None:
    envelope.slices_changed.CopyFrom(pb.SlicesChanged(**body.as_dict()))


@_set_body.register
def _(body: peers.AskVouch, envelope: pb.Envelope) -> None:
    envelope.ask_vouch.CopyFrom(pb.AskVouch(**body.as_dict()))


@_set_body.register
def _(body: peers.Vouch, envelope: pb.Envelope) -> None:
    envelope.vouch.CopyFrom(pb.Vouch(**body.as_dict()))


@_set_body.register
def _(body: peers.AskAttest, envelope: pb.Envelope) -> None:
    envelope.ask_attest.SetInParent()


@_set_body.register
def _(body: peers.Attest, envelope: pb.Envelope) -> None:
    envelope.attest.CopyFrom(pb.Attest(**body.as_dict()))


@_set_body.register
def _(body: peers.Ack, envelope: pb.Envelope) -> None:
    envelope.ack.SetInParent()


@functools.singledispatch
def _decode_body(message: typing.Any) -> peers.Body:
    """Decode the message of an envelope by its type."""
    raise TypeError(type(message))


def _instance_info(info: pb.Row) -> peers.InstanceInfo:
    return peers.InstanceInfo(
        **{name: getattr(info, name) for name in peers.InstanceInfo.__slots__}
    )


@_decode_body.register
def _(message: pb.Gossip) -> peers.Body:
    return peers.Gossip(
        sender=_instance_info(message.sender),
        rows=[_instance_info(info) for info in message.rows],
        beats=[
            peers.InstanceUpdate(key=b.key, beat=b.beat, flags=b.flags, config_age=b.config_age)
            for b in message.beats
        ],
        unknown=list(message.unknown),
        digest=message.digest,
        arrivals=message.arrivals,
        loads=[
            peers.LoadReport(**{name: getattr(load, name) for name in peers.LoadReport.__slots__})
            for load in message.loads
        ],
        suspects=suspects.from_protobuf(message.suspects),
    )


@_decode_body.register
def _(message: pb.Entries) -> peers.Body:
    return peers.Entries(
        [
            entry.Entry(
                kind=item.kind,
                name=item.name,
                version=item.version,
                write_id=item.write_id,
                spec=resources.spec_from_bytes(item.kind, item.spec),
            )
            for item in message.entries
        ],
        arrivals=message.arrivals,
        digest=message.digest,
        age_s=message.age_ms / 1000 if message.HasField("age_ms") else None,
    )


@_decode_body.register
def _(message: pb.PullEntries) -> peers.Body:
    return peers.PullEntries(message.since)


@_decode_body.register
def _(message: pb.Borrow) -> peers.Body:
    return peers.LoanRequest(
        account=message.account,
        loan_id=message.loan_id,
        borrower=message.borrower,
        tokens=message.tokens,
        waited_s=message.waited_s,
    )


@_decode_body.register
def _(message: pb.Loan) -> peers.Body:
    return peers.Loan(
        loan_id=message.loan_id,
        parts=message.parts,
        tokens=message.tokens,
        holders=tuple(message.holders),
    )


@_decode_body.register
def _(message: pb.ReturnLoan) -> peers.Body:
    return peers.ReturnLoan(account=message.account, loan_id=message.loan_id, tokens=message.tokens)


@_decode_body.register
def _(message: pb.SlicesChanged) -> peers.Body:
    return peers.SlicesChanged(tuple(message.accounts))


@_decode_body.register
def _(message: pb.AskVouch) -> peers.Body:
    return peers.AskVouch(message.instance)


@_decode_body.register
def _(message: pb.Vouch) -> peers.Body:
    return peers.Vouch(instance=message.instance, cut_off=message.cut_off)


@_decode_body.register
def _(message: pb.AskAttest) -> peers.Body:
    return peers.AskAttest()


@_decode_body.register
def _(message: pb.Attest) -> peers.Body:
    return peers.Attest(instance=message.instance, quiet_s=message.quiet_s)


@_decode_body.register
def _(message: pb.Ack) -> peers.Body:
    return peers.Ack()


def to_forwarded(work: actions.Forward, *, stamp: int) -> pb.Forwarded:
    """Encode a request for another instance, without the caller's key and its digest.

    Args:
        work: The request with its attempt and hop.
        stamp: Hybrid logical time at the sender, in microseconds.
    """
    request, hop = work.request, work.hop
    return pb.Forwarded(
        stamp=stamp,
        id=request.id,
        kind=request.kind,
        target=request.target,
        method=request.method,
        path=request.path,
        headers=_to_headers(request.headers),
        body=request.body,
        stream=request.stream,
        prompt_tokens=request.prompt_tokens,
        max_tokens=request.max_tokens,
        prefix=request.prefix_hash,
        digest=request.digest,
        operation_key=request.operation_key,
        deadline_in=work.deadline_in,
        attempt=work.attempt,
        parts=[pb.PromptPart(id=name, tokens=tokens) for name, tokens in request.prompt_parts],
        resume_after=request.resume_after,
        **(hop.as_dict() | _hop_messages(hop)),
    )


def _to_headers(headers: tuple[tuple[str, str], ...]) -> list[pb.Header]:
    """Return headers as messages."""
    return [pb.Header(name=name, value=header_text.to_bytes(value)) for name, value in headers]


def _from_headers(messages: typing.Iterable[pb.Header]) -> tuple[tuple[str, str], ...]:
    """Return the headers that messages hold."""
    return tuple((item.name, header_text.from_bytes(item.value)) for item in messages)


def _hop_messages(hop: requests.Hop) -> dict[str, typing.Any]:
    """Return the fields of a hop that are messages of their own."""
    return {
        "versions": _version_set(hop.versions),
        "crashes": suspects.crashes_to_protobuf(hop.crashes),
    }


def _version_set(versions: tuple[str, ...] | None) -> pb.VersionSet | None:
    """Return software versions as a message; None, which stands for all, has none."""
    return None if versions is None else pb.VersionSet(names=versions)


def from_forwarded(
    message: pb.Forwarded, *, now: float
) -> tuple[requests.Request, requests.Hop, int]:
    """Decode a forwarded request, its hop and the number of its attempt.

    Args:
        message: The message.
        now: Monotonic seconds of the receiver, to which the time left is added.

    Raises:
        errors.GatewayError: ``peer-invalid`` when the request lacks its id or account, or its kind
            is unknown.
    """
    lacks_account = not message.account and message.kind != requests.PROXY
    if not message.id or lacks_account or message.kind not in REQUEST_KINDS:
        raise errors.GatewayError(
            errors.Code.PEER_INVALID,
            step=STEP,
            detail="the forwarded request has no id, no account or no known kind",
        )
    request = requests.Request(
        id=message.id,
        kind=message.kind,
        target=message.target,
        method=message.method,
        path=message.path,
        headers=_from_headers(message.headers),
        body=message.body,
        stream=message.stream,
        prompt_tokens=message.prompt_tokens,
        max_tokens=message.max_tokens,
        prefix_hash=message.prefix,
        digest=message.digest,
        key_digest="",
        operation_key=message.operation_key,
        deadline=now + message.deadline_in,
        prompt_parts=tuple((part.id, part.tokens) for part in message.parts),
        resume_after=message.resume_after,
    )
    hop = requests.Hop(
        sender=message.sender,
        account=message.account,
        key_name=message.key_name,
        regions=tuple(message.regions),
        hops=message.hops,
        visited=tuple(message.visited),
        owned=message.owned,
        charged=message.charged,
        granted_tokens=message.granted_tokens,
        better_than_s=message.better_than_s,
        service=message.service,
        priority=message.priority,
        avoid=tuple(message.avoid),
        streams=message.streams,
        leased=message.leased,
        versions=tuple(message.versions.names) if message.HasField("versions") else None,
        crashes=suspects.crashes_from_protobuf(message.crashes),
    )
    return request, hop, message.attempt


@functools.singledispatch
def to_part(part: answers.Part, *, stamp: int) -> pb.Part:
    """Encode a part of an answer.

    Args:
        part: The part.
        stamp: Hybrid logical time at the sender, in microseconds.
    """
    raise TypeError(type(part))


@to_part.register
def _(part: answers.Head, *, stamp: int) -> pb.Part:
    head = pb.Head(
        status=part.status,
        headers=_to_headers(part.headers),
        source=part.source,
        software_version=part.software_version,
    )
    return pb.Part(stamp=stamp, request_id=part.request_id, attempt=part.attempt, head=head)


@to_part.register
def _(part: answers.Chunk, *, stamp: int) -> pb.Part:
    chunk = pb.Chunk(data=part.data, event_id=part.event_id)
    return pb.Part(stamp=stamp, request_id=part.request_id, attempt=part.attempt, chunk=chunk)


@to_part.register
def _(part: answers.End, *, stamp: int) -> pb.Part:
    end = pb.End(usage=pb.Usage(**part.usage.as_dict()))
    return pb.Part(stamp=stamp, request_id=part.request_id, attempt=part.attempt, end=end)


@to_part.register
def _(part: answers.Failure, *, stamp: int) -> pb.Part:
    error = part.error
    failure = pb.Failure(
        code=error.code.wire,
        step=error.step,
        peer=error.peer,
        detail=error.detail[:MAX_DETAIL_CHARACTERS],
        run=error.run.value,
        retry_after=error.retry_after or 0.0,
        crashed=part.crashed,
        usage=pb.Usage(**part.usage.as_dict()),
        crashes=suspects.crashes_to_protobuf(error.crashes),
    )
    return pb.Part(stamp=stamp, request_id=part.request_id, attempt=part.attempt, failure=failure)


def from_part(part: pb.Part) -> answers.Part:
    """Decode a part of an answer.

    Raises:
        errors.GatewayError: ``peer-invalid`` when the part holds no known message.
    """
    name = part.WhichOneof("part")
    if name is None:
        raise errors.GatewayError(
            errors.Code.PEER_INVALID,
            step=STEP,
            detail="the answer part contains no known message",
            run=errors.RunStatus.MAY_HAVE_RUN,
        )
    return _decode_part(getattr(part, name), part.request_id, part.attempt)


@functools.singledispatch
def _decode_part(message: typing.Any, request_id: str, attempt: int) -> answers.Part:
    """Decode the message of an answer part by its type."""
    raise TypeError(type(message))


@_decode_part.register
def _(message: pb.Head, request_id: str, attempt: int) -> answers.Part:
    return answers.Head(
        request_id=request_id,
        attempt=attempt,
        status=message.status,
        headers=_from_headers(message.headers),
        source=message.source,
        software_version=message.software_version,
    )


@_decode_part.register
def _(message: pb.Chunk, request_id: str, attempt: int) -> answers.Part:
    return answers.Chunk(
        request_id=request_id, attempt=attempt, data=message.data, event_id=message.event_id
    )


@_decode_part.register
def _(message: pb.End, request_id: str, attempt: int) -> answers.Part:
    usage = answers.Usage(message.usage.prompt, message.usage.output)
    return answers.End(request_id=request_id, attempt=attempt, usage=usage)


@_decode_part.register
def _(message: pb.Failure, request_id: str, attempt: int) -> answers.Part:
    error = errors.GatewayError(
        errors.BY_WIRE.get(message.code, errors.Code.PEER_FAILED),
        step=message.step,
        peer=message.peer,
        detail=message.detail,
        run=errors.RunStatus(message.run) if message.run else errors.RunStatus.MAY_HAVE_RUN,
        retry_after=message.retry_after or None,
        crashes=suspects.crashes_from_protobuf(message.crashes),
    )
    return answers.Failure(
        request_id=request_id,
        attempt=attempt,
        error=error,
        crashed=message.crashed,
        usage=answers.Usage(message.usage.prompt, message.usage.output),
    )
