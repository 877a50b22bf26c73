"""Messages between the core task, which decides, and the tasks that run requests."""

from __future__ import annotations

from yuccahitch import errors, records
from yuccahitch.messages import actions, answers, requests


class Begin(records.Record):
    """Begin a request that arrived; the reply is the action to take.

    Attributes:
        request: The request.
        hop: Forwarding metadata if a peer forwarded the request, else None.
    """

    __slots__ = ("request", "hop")

    def __init__(self, request: requests.Request, hop: requests.Hop | None = None) -> None:
        self.request = request
        self.hop = hop


class Resume(records.Record):
    """Resume a request whose attempt began to answer or failed; the reply is the action to take.

    Attributes:
        request_id: Id of the request.
        part: Head of the answer, or the failure of the attempt.
    """

    __slots__ = ("request_id", "part")

    def __init__(self, request_id: str, part: answers.Head | answers.Failure) -> None:
        self.request_id = request_id
        self.part = part


class Received(records.Record):
    """Note that the upstream has sent a whole answer which the caller has not read yet.

    Attributes:
        request_id: Id of the request.
        request: The request itself, which tells it from another one with the same id.
    """

    __slots__ = ("request_id", "request")

    def __init__(self, request_id: str, request: requests.Request) -> None:
        self.request_id = request_id
        self.request = request


class Expire(records.Record):
    """Expire a request whose answer did not begin in time; the reply is the refusal.

    Attributes:
        request_id: Id of the request.
    """

    __slots__ = ("request_id",)

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id


class Finish(records.Record):
    """Finish a request that ended.

    Attributes:
        request_id: Id of the request.
        request: The request itself, which tells it from another one with the same id; None stands
            for whichever is open.
        succeeded: Whether the answer was complete.
        usage: Tokens used.
        recorded_answer: Answer to store for repeats of the idempotency key, or None.
        error: Cause of the failure, or None.
        abandoned: Whether the caller closed its connection.
        crashed_upstream: Name of the upstream whose connection broke during the answer, or empty.
        first_byte_s: Time until the answer began, in seconds, or None if it did not begin.
    """

    __slots__ = (
        "request_id",
        "request",
        "succeeded",
        "usage",
        "recorded_answer",
        "error",
        "abandoned",
        "crashed_upstream",
        "first_byte_s",
    )

    def __init__(
        self,
        request_id: str,
        *,
        succeeded: bool,
        usage: answers.Usage,
        request: requests.Request | None = None,
        recorded_answer: answers.RecordedAnswer | None = None,
        error: errors.GatewayError | None = None,
        abandoned: bool = False,
        crashed_upstream: str = "",
        first_byte_s: float | None = None,
    ) -> None:
        self.request_id = request_id
        self.request = request
        self.succeeded = succeeded
        self.usage = usage
        self.recorded_answer = recorded_answer
        self.error = error
        self.abandoned = abandoned
        self.crashed_upstream = crashed_upstream
        self.first_byte_s = first_byte_s


class NextAction(records.Record):
    """The next action for a request, as the core decided.

    Attributes:
        request_id: Id of the request.
        action: The action.
        operation_state: State of the request's idempotency key, which refusals report.
    """

    __slots__ = ("request_id", "action", "operation_state")

    def __init__(
        self, request_id: str, action: actions.Action, *, operation_state: str = ""
    ) -> None:
        self.request_id = request_id
        self.action = action
        self.operation_state = operation_state
