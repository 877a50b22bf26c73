"""Parts of an answer on its way from an upstream or a peer to the caller."""

from __future__ import annotations

from yuccahitch import errors, records


class Usage(records.Record):
    """Tokens that a request used.

    Attributes:
        prompt: Prompt tokens, as counted by the gateway.
        output: Generated tokens.
    """

    __slots__ = ("prompt", "output")

    def __init__(self, prompt: int = 0, output: int = 0) -> None:
        self.prompt = prompt
        self.output = output


class Head(records.Record):
    """The status and headers of an answer.

    Attributes:
        request_id: Id of the answered request.
        attempt: Number of the answered attempt.
        status: HTTP status.
        headers: Headers sent to the caller, as pairs of name and value.
        source: Name of the upstream that answers.
        software_version: Version of its software, or empty.
    """

    __slots__ = ("request_id", "attempt", "status", "headers", "source", "software_version")

    def __init__(
        self,
        *,
        request_id: str,
        attempt: int,
        status: int,
        headers: tuple[tuple[str, str], ...],
        source: str,
        software_version: str = "",
    ) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.status = status
        self.headers = headers
        self.source = source
        self.software_version = software_version

    def is_success(self) -> bool:
        """Return whether the status tells that the request was answered with success."""
        return 200 <= self.status < 300

    def media_type(self) -> str:
        """Return the media type of the body, without parameters, or an empty text."""
        values = (value for name, value in self.headers if name.lower() == "content-type")
        return next(values, "").partition(";")[0].strip().lower()


class Chunk(records.Record):
    """A piece of an answer's body.

    Attributes:
        request_id: Id of the answered request.
        attempt: Number of the answered attempt.
        data: The bytes; a chunk of an event stream holds only complete events.
        event_id: Id of the last event in the chunk, or empty.
    """

    __slots__ = ("request_id", "attempt", "data", "event_id")

    def __init__(self, *, request_id: str, attempt: int, data: bytes, event_id: str = "") -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.data = data
        self.event_id = event_id


class Pause(records.Record):
    """A pause in an answer: nothing more comes before the caller has taken what came.

    Attributes:
        request_id: Id of the answered request.
        attempt: Number of the answered attempt.
    """

    __slots__ = ("request_id", "attempt")

    def __init__(self, *, request_id: str, attempt: int) -> None:
        self.request_id = request_id
        self.attempt = attempt


class End(records.Record):
    """The end of a complete answer.

    Attributes:
        request_id: Id of the answered request.
        attempt: Number of the answered attempt.
        usage: Tokens that the attempt used.
    """

    __slots__ = ("request_id", "attempt", "usage")

    def __init__(self, *, request_id: str, attempt: int, usage: Usage) -> None:
        self.request_id = request_id
        self.attempt = attempt
        self.usage = usage


class Failure(records.Record):
    """A failed attempt.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the failed attempt.
        error: Cause of the failure, and whether an upstream may have run the request.
        crashed: Whether the upstream's connection broke while it worked on the request.
        usage: Tokens used before the failure.
        last_event_id: Id of the last event sent to the caller, or empty.
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


Part = Head | Chunk | Pause | End | Failure


class RecordedAnswer(records.Record):
    """A complete answer stored for repeated requests with the same idempotency key.

    Attributes:
        status: HTTP status.
        headers: Headers sent to the caller, as pairs of name and value.
        body: The body, or no bytes if it was not stored.
        has_body: Whether the body was stored; a body over the size limit is not.
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
