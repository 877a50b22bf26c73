"""Parts of an answer, from an upstream or a peer to the caller."""

from __future__ import annotations

from yuccahitch import errors, records


class Usage(records.Record):
    """Tokens that a request used.

    Attributes:
        prompt: Prompt tokens as the gateway counts them.
        output: Generated tokens.
    """

    __slots__ = ("prompt", "output")

    def __init__(self, prompt: int = 0, output: int = 0) -> None:
        self.prompt = prompt
        self.output = output


class Head(records.Record):
    """The status and headers of an answer.

    Attributes:
        request_id: Request that it answers.
        attempt: Attempt that it answers.
        status: HTTP status.
        headers: Headers that are passed on.
        source: Upstream that answers.
    """

    __slots__ = ("request_id", "attempt", "status", "headers", "source")

    def __init__(
        self,
        *,
        request_id: str,
        attempt: int,
        status: int,
        headers: tuple[tuple[str, str], ...],
        source: str,
    ) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.status = status
        self.headers = headers
        self.source = source


class Chunk(records.Record):
    """Bytes of an answer's body.

    Attributes:
        request_id: Request that it answers.
        attempt: Attempt that it answers.
        data: The bytes; of a stream, whole events.
        event_id: Id of the last event in them, or empty.
    """

    __slots__ = ("request_id", "attempt", "data", "event_id")

    def __init__(self, *, request_id: str, attempt: int, data: bytes, event_id: str = "") -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.data = data
        self.event_id = event_id


class End(records.Record):
    """The answer is whole."""

    __slots__ = ("request_id", "attempt", "usage")

    def __init__(self, *, request_id: str, attempt: int, usage: Usage) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.usage = usage


class Failure(records.Record):
    """The attempt failed.

    Attributes:
        request_id: Request that failed.
        attempt: Attempt that failed.
        error: Why, and whether an upstream can have run it.
        crashed: Whether the upstream's connection broke while it worked on the request.
        usage: Tokens used before the failure.
        last_event_id: Id of the last event that was passed on, or empty.
    """

    __slots__ = ("request_id", "attempt", "error", "crashed", "usage", "last_event_id")

    def __init__(
        self,
        *,
        request_id: str,
        attempt: int,
        error: errors.GatewayError,
        crashed: bool = False,
        usage: Usage | None = None,
        last_event_id: str = "",
    ) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.error = error
        self.last_event_id = last_event_id
        self.crashed = crashed
        self.usage = usage or Usage()


Part = Head | Chunk | End | Failure


class RecordedAnswer(records.Record):
    """A whole answer kept for repeats of an idempotency key.

    Attributes:
        status: HTTP status.
        headers: Headers that are passed on.
        body: Body in bytes.
        has_body: Whether the body was kept; a large one is not.
    """

    __slots__ = ("status", "headers", "body", "has_body")

    def __init__(
        self,
        *,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
        has_body: bool,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.has_body = has_body
