"""Requests as the filter chain sees them."""

from __future__ import annotations

from yuccahitch import records

CHAT = "chat"
CALL = "call"
PROXY = "proxy"


class Request(records.Record):
    """A caller's request without its credentials.

    Attributes:
        id: Unique id, in every log line and message about it.
        kind: ``chat`` for a model, ``call`` for a plain service, ``proxy`` for a route by host
            and path, whose requests pass unchanged.
        target: Model, service or host that the caller names.
        method: HTTP method towards the upstream.
        path: Path and query towards the upstream.
        headers: Headers that are passed on.
        body: Body in bytes.
        stream: Whether the answer is streamed.
        prompt_tokens: Upper bound of the prompt as the gateway counts it, in tokens.
        max_tokens: Limit of the answer that the caller asks for, or 0.
        prefix_hash: Hash of the beginning of the prompt, for cache affinity.
        digest: Hash of target, path and body.
        key_digest: Digest of the caller's key, or empty.
        operation_key: Idempotency key, or empty.
        deadline: Time by which the answer must begin, in monotonic seconds.
        prompt_parts: Parts of the prompt in their order, each an id and its tokens.
        resume_after: Id of the last event that the caller has, or empty.
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


class Hop(records.Record):
    """What comes with a request that a peer forwarded; such a request is never forwarded on.

    Attributes:
        sender: Id of the instance that forwarded it.
        account: Client account that the request runs for.
        key_name: Name of the key that came with it, or empty on an open route.
        regions: Regions where the data may reside, as the sender knows them; empty means every.
        hops: Forwards so far, this one included.
        visited: Ids of the instances that have seen the request.
        owned: Whether the receiver minted the operation key and runs the whole chain.
        charged: Whether the sender took the tokens from the client account's rate.
        granted_tokens: Limit of the answer that the sender reserved, in tokens.
        better_than_s: First-token time at the sender; the receiver declines if it takes longer
            there. 0 means that the sender can't serve the request.
        service: Service that the sender chose, on a route by host and path.
        priority: Priority of the request there.
        avoid: Upstreams that failed the request.
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
