"""Messages between the core, which decides, and the tasks that run requests."""

from __future__ import annotations

from yuccahitch import errors, records
from yuccahitch.messages import actions, answers, requests


class Begin(records.Record):
    """A request arrived; the reply is the action to take."""

    __slots__ = ("request", "hop")

    def __init__(self, request: requests.Request, hop: requests.Hop | None = None) -> None:
        self.request = request
        self.hop = hop


class Resume(records.Record):
    """An attempt began to answer or failed; the reply is the action to take."""

    __slots__ = ("request_id", "part")

    def __init__(self, request_id: str, part: answers.Head | answers.Failure) -> None:
        self.request_id = request_id
        self.part = part


class Expire(records.Record):
    """The time of a request is up and its answer has not begun; the reply is the refusal."""

    __slots__ = ("request_id",)

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id


class Finish(records.Record):
    """A request is over.

    Attributes:
        request_id: The request.
        succeeded: Whether the whole answer came.
        usage: Tokens used.
        recorded_answer: The answer, if it is kept for repeats.
        error: Why it did not succeed, if it did not.
        abandoned: Whether the caller hung up.
        crashed_upstream: Upstream whose connection broke while it answered, or empty.
        first_byte_s: Seconds until the answer began, or None.
    """

    __slots__ = (
        "request_id",
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
        recorded_answer: answers.RecordedAnswer | None = None,
        error: errors.GatewayError | None = None,
        abandoned: bool = False,
        crashed_upstream: str = "",
        first_byte_s: float | None = None,
    ) -> None:
        self.request_id = request_id
        self.succeeded = succeeded
        self.usage = usage
        self.recorded_answer = recorded_answer
        self.error = error
        self.abandoned = abandoned
        self.crashed_upstream = crashed_upstream
        self.first_byte_s = first_byte_s


class NextAction(records.Record):
    """A request that waited goes on with an action.

    Attributes:
        request_id: The request.
        action: The action.
        operation_state: State of its idempotency key, for refusals.
    """

    __slots__ = ("request_id", "action", "operation_state")

    def __init__(
        self, request_id: str, action: actions.Action, *, operation_state: str = ""
    ) -> None:
        self.request_id = request_id
        self.action = action
        self.operation_state = operation_state
