"""Requests as the filter chain gets them."""

from __future__ import annotations

import typing

from yuccahitch import records
from yuccahitch.messages import suspects

# Kinds of requests, described at ``Request.kind``.
CHAT = "chat"
CALL = "call"
PROXY = "proxy"


class Request(records.Record):
    """A caller's request without its credentials.

    Attributes:
        id: Unique id of the request, in every log line and message about it.
        kind: ``chat`` for a model, ``call`` for a plain service, ``proxy`` for a route by host
            and path, whose requests are sent on unchanged.
        target: Model, service or host that the caller names.
        method: HTTP method for the upstream.
        path: Path and query for the upstream.
        headers: Headers for the upstream, as pairs of name and value.
        body: The body.
        stream: Whether the answer is streamed.
        prompt_tokens: Upper bound of the prompt's length as the gateway counts it, in tokens.
        max_tokens: Output limit that the caller sets, in tokens; 0 if it sets none.
        prefix_hash: Hash of the beginning of the prompt, for cache affinity; 0 without one.
        digest: Hash of target, path and body.
        key_digest: Digest of the caller's key, or empty.
        operation_key: Idempotency key, or empty.
        deadline: Time by which the answer must begin, in monotonic seconds.
        prompt_parts: Parts of the prompt in their order, each an id and its length in tokens.
        resume_after: Id of the last event that the caller has received, or empty.
        resumes: Id of the request that brought the first event of the stream that the caller takes
            up, or None if it names none.
    """

    __slots__ = (
        "id",
        "kind",
        "target",
        "method",
        "path",
        "headers",
        "body",
        "stream",
        "prompt_tokens",
        "max_tokens",
        "prefix_hash",
        "digest",
        "key_digest",
        "operation_key",
        "deadline",
        "prompt_parts",
        "resume_after",
        "resumes",
    )

    def __init__(
        self,
        *,
        id: str,
        kind: str,
        target: str,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        stream: bool,
        prompt_tokens: int,
        max_tokens: int,
        prefix_hash: int,
        digest: str,
        key_digest: str,
        operation_key: str,
        deadline: float,
        prompt_parts: tuple[tuple[str, int], ...] = (),
        resume_after: str = "",
        resumes: str | None = None,
    ) -> None:
        self.id = id
        self.kind = kind
        self.target = target
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.stream = stream
        self.prompt_tokens = prompt_tokens
        self.max_tokens = max_tokens
        self.prefix_hash = prefix_hash
        self.digest = digest
        self.key_digest = key_digest
        self.operation_key = operation_key
        self.deadline = deadline
        self.prompt_parts = tuple(prompt_parts)
        self.resume_after = resume_after
        self.resumes = resumes


class Hop(records.Record):
    """Metadata of a request that a peer forwarded; such a request is never forwarded again.

    Attributes:
        sender: Id of the instance that forwarded the request.
        account: Client account that the request runs for.
        key_name: Name of the key that the caller presented, or empty on an open route.
        regions: Regions where the data may reside, as the sender knows them; empty means every
            region.
        hops: Number of times that the request was forwarded, this time included.
        visited: Ids of the instances that have handled the request.
        owned: Whether the receiver issued the idempotency key and so runs the whole chain.
        charged: Whether the sender charged the tokens to the client account's rate.
        granted_tokens: Output limit that the sender reserved, in tokens.
        better_than_s: Estimated time to the first token at the sender, in seconds; the receiver
            declines if it would take longer. 0 means that the sender can't serve the request.
        service: Service that the sender chose, on a route by host and path.
        priority: Priority of the request on that route; 0 comes first.
        avoid: Upstreams and instances where the request already failed.
        streams: Whether the answers on that route are streams of events.
        leased: Whether the request may be repeated, and so runs under a lease.
        versions: Software versions whose upstreams may get the request; None means every one.
        crashes: Crashes of upstreams in its attempts so far, in their order.
    """

    __slots__ = (
        "sender",
        "account",
        "key_name",
        "regions",
        "hops",
        "visited",
        "owned",
        "charged",
        "granted_tokens",
        "better_than_s",
        "service",
        "priority",
        "avoid",
        "streams",
        "leased",
        "versions",
        "crashes",
    )

    def __init__(
        self,
        *,
        sender: str,
        account: str,
        key_name: str,
        regions: tuple[str, ...],
        hops: int,
        visited: tuple[str, ...],
        owned: bool,
        charged: bool,
        granted_tokens: int,
        better_than_s: float = 0.0,
        service: str = "",
        priority: int = 0,
        avoid: tuple[str, ...] = (),
        streams: bool = False,
        leased: bool = False,
        versions: tuple[str, ...] | None = None,
        crashes: typing.Iterable[suspects.CrashReport] = (),
    ) -> None:
        self.sender = sender
        self.account = account
        self.key_name = key_name
        self.regions = regions
        self.hops = hops
        self.visited = visited
        self.owned = owned
        self.charged = charged
        self.granted_tokens = granted_tokens
        self.better_than_s = better_than_s
        self.service = service
        self.priority = priority
        self.avoid = tuple(avoid)
        self.streams = streams
        self.leased = leased
        self.versions = versions
        self.crashes = tuple(crashes)
