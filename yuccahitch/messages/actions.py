"""What a filter decides, and the work it asks the tasks to perform."""

from __future__ import annotations

from yuccahitch import errors, records
from yuccahitch.messages import answers, requests


class Proceed(records.Record):
    """Go on to the next filter."""

    __slots__ = ()


class Refuse(records.Record):
    """End the request with an error."""

    __slots__ = ("error",)

    def __init__(self, error: errors.GatewayError) -> None:
        self.error = error


class Replay(records.Record):
    """End the request with the answer recorded for its idempotency key."""

    __slots__ = ("answer",)

    def __init__(self, answer: answers.RecordedAnswer) -> None:
        self.answer = answer


class Rewind(records.Record):
    """Run the chain again from an earlier step."""

    __slots__ = ("step",)

    def __init__(self, step: str) -> None:
        self.step = step


class Deliver(records.Record):
    """The answer began; pass it on until it ends."""

    __slots__ = ("head",)

    def __init__(self, head: answers.Head) -> None:
        self.head = head


class Perform(records.Record):
    """Wait until a piece of work is done; its reply resumes the filter."""

    __slots__ = ("work",)

    def __init__(self, work: Work) -> None:
        self.work = work


class Dispatch(records.Record):
    """Send the request to an upstream.

    Attributes:
        upstream: Name of the upstream.
        address: Its base URL.
        attempt: Number of the attempt, from 1.
        request: The request.
        max_tokens: Limit that the upstream is given, in tokens; 0 for plain services.
        priority: Priority for engines that honour one.
        echoes_request_id: Whether the upstream returns the request id, which is then checked.
        account: Client account that the upstream is told, or empty.
        give_up_at: When the attempt ends, in monotonic seconds, or None.
    """

    __slots__ = (
        "upstream",
        "address",
        "attempt",
        "request",
        "max_tokens",
        "priority",
        "echoes_request_id",
        "account",
        "give_up_at",
    )

    def __init__(
        self,
        *,
        upstream: str,
        address: str,
        attempt: int,
        request: requests.Request,
        max_tokens: int,
        priority: int,
        echoes_request_id: bool,
        account: str = "",
        give_up_at: float | None = None,
    ) -> None:
        self.upstream = upstream
        self.address = address
        self.attempt = attempt
        self.request = request
        self.max_tokens = max_tokens
        self.priority = priority
        self.echoes_request_id = echoes_request_id
        self.account = account
        self.give_up_at = give_up_at


class Forward(records.Record):
    """Send the request to an instance in another region.

    Attributes:
        instance: Id of the instance.
        address: Its peer address.
        attempt: Number of the attempt, from 1.
        request: The request.
        hop: What the receiver must know.
        deadline_in: Time left, in seconds.
    """

    __slots__ = ("instance", "address", "attempt", "request", "hop", "deadline_in")

    def __init__(
        self,
        *,
        instance: str,
        address: str,
        attempt: int,
        request: requests.Request,
        hop: requests.Hop,
        deadline_in: float,
    ) -> None:
        self.instance = instance
        self.address = address
        self.attempt = attempt
        self.request = request
        self.hop = hop
        self.deadline_in = deadline_in


class AwaitTokens(records.Record):
    """Wait for tokens borrowed from peers."""

    __slots__ = ("account", "tokens", "wait_until")

    def __init__(self, *, account: str, tokens: int, wait_until: float) -> None:
        self.account = account
        self.tokens = tokens
        self.wait_until = wait_until


class AwaitUpstreamSlot(records.Record):
    """Wait in the queue for a place at an upstream."""

    __slots__ = ("wait_until",)

    def __init__(self, *, wait_until: float) -> None:
        self.wait_until = wait_until


class AwaitIdempotencyClaim(records.Record):
    """Wait for the store to record an idempotency key."""

    __slots__ = ("key",)

    def __init__(self, *, key: str) -> None:
        self.key = key


Work = Dispatch | Forward | AwaitTokens | AwaitUpstreamSlot | AwaitIdempotencyClaim
Action = Proceed | Refuse | Replay | Rewind | Deliver | Perform
