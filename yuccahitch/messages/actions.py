"""Actions that filters return, and the work that tasks perform for them."""

from __future__ import annotations

from yuccahitch import errors, records
from yuccahitch.messages import answers, requests


class Proceed(records.Record):
    """Continue with the next filter of the chain."""

    __slots__ = ()


class Refuse(records.Record):
    """End the request with an error.

    Attributes:
        error: Error that the caller or the forwarding instance receives.
    """

    __slots__ = ("error",)

    def __init__(self, error: errors.GatewayError) -> None:
        self.error = error


class Replay(records.Record):
    """End the request with the answer recorded for its idempotency key.

    Attributes:
        answer: The recorded answer.
    """

    __slots__ = ("answer",)

    def __init__(self, answer: answers.RecordedAnswer) -> None:
        self.answer = answer


class Rewind(records.Record):
    """Restart the chain at an earlier filter; the filters entered since then are left first.

    Attributes:
        step: Step name of the filter to restart from.
    """

    __slots__ = ("step",)

    def __init__(self, step: str) -> None:
        self.step = step


class Deliver(records.Record):
    """Send the caller the answer, which has begun, until it ends.

    Attributes:
        head: Status and headers of the answer.
    """

    __slots__ = ("head",)

    def __init__(self, head: answers.Head) -> None:
        self.head = head


class Perform(records.Record):
    """Suspend the request until a piece of work is done; its reply resumes the filter.

    Attributes:
        work: The work to perform or to wait for.
    """

    __slots__ = ("work",)

    def __init__(self, work: Work) -> None:
        self.work = work


class RequiredStart(records.Record):
    """The start of an upstream that a request is bound to.

    An upstream may start again under its name and at its address with other software before its
    new entry is known.

    Attributes:
        born_ms: The start by the entry, in milliseconds since the Unix epoch; 0 if it doesn't tell.
        or_untold: Whether an upstream that doesn't tell its start will do, too.
    """

    __slots__ = ("born_ms", "or_untold")

    def __init__(self, born_ms: int, *, or_untold: bool) -> None:
        self.born_ms = born_ms
        self.or_untold = or_untold

    def is_other(self, told_ms: int) -> bool:
        """Return whether the upstream told another start than its entry."""
        return self._is_told(told_ms) and told_ms != self.born_ms

    def admits(self, told_ms: int) -> bool:
        """Return whether an upstream that told its start, or 0, may get the request."""
        return told_ms == self.born_ms if self._is_told(told_ms) else self.or_untold

    def _is_told(self, told_ms: int) -> bool:
        """Return whether both entry and upstream tell a start."""
        return bool(self.born_ms and told_ms)


class Dispatch(records.Record):
    """Send the request to an upstream.

    Attributes:
        upstream: Name of the upstream.
        incarnation: Name of the upstream's present start.
        address: Base URL of the upstream.
        software_version: Version of the upstream's software, or empty.
        attempt: Number of the attempt, from 1.
        request: The request.
        max_tokens: Output limit sent to the upstream, in tokens; 0 for plain services.
        priority: Priority sent to engines that support it; 0 comes first.
        echoes_request_id: Whether the upstream returns the request id, which is then checked.
        streams: Whether a successful answer is a stream of events.
        account: Client account named in the request to the upstream, or empty.
        give_up_at: Time at which the attempt is abandoned, in monotonic seconds; None sets no
            limit for the attempt.
        required_start: Start of the upstream that the request is bound to; None if any may get it.
    """

    __slots__ = (
        "upstream",
        "incarnation",
        "address",
        "software_version",
        "attempt",
        "request",
        "max_tokens",
        "priority",
        "echoes_request_id",
        "streams",
        "account",
        "give_up_at",
        "required_start",
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
        incarnation: str = "",
        software_version: str = "",
        streams: bool = False,
        account: str = "",
        give_up_at: float | None = None,
        required_start: RequiredStart | None = None,
    ) -> None:
        self.upstream = upstream
        self.incarnation = incarnation
        self.address = address
        self.software_version = software_version
        self.attempt = attempt
        self.request = request
        self.max_tokens = max_tokens
        self.priority = priority
        self.echoes_request_id = echoes_request_id
        self.streams = streams
        self.account = account
        self.give_up_at = give_up_at
        self.required_start = required_start


class Forward(records.Record):
    """Send the request to an instance in another region.

    Attributes:
        instance: Id of the instance.
        address: Peer address of the instance, ``IP:PORT``.
        attempt: Number of the attempt, from 1.
        request: The request.
        hop: Forwarding metadata sent along with the request.
        deadline_in: Time left until the request is given up, in seconds.
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
    """Wait for tokens borrowed from peers.

    Attributes:
        account: Client account that the tokens are charged to.
        tokens: Tokens that the request needs.
    """

    __slots__ = ("account", "tokens")

    def __init__(self, *, account: str, tokens: int) -> None:
        self.account = account
        self.tokens = tokens


class AwaitUpstreamSlot(records.Record):
    """Wait in the queue for a free slot at an upstream.

    Attributes:
        wait_until: Time at which the wait ends, in monotonic seconds.
    """

    __slots__ = ("wait_until",)

    def __init__(self, *, wait_until: float) -> None:
        self.wait_until = wait_until


class AwaitIdempotencyClaim(records.Record):
    """Wait for the store to record the claim of an idempotency key.

    Attributes:
        key: The idempotency key.
    """

    __slots__ = ("key",)

    def __init__(self, *, key: str) -> None:
        self.key = key


class AwaitOrigin(records.Record):
    """Wait until it is known which software version began the stream that is taken up.

    Attributes:
        wait_until: Time at which the wait ends, in monotonic seconds.
    """

    __slots__ = ("wait_until",)

    def __init__(self, *, wait_until: float) -> None:
        self.wait_until = wait_until


Work = Dispatch | Forward | AwaitTokens | AwaitUpstreamSlot | AwaitIdempotencyClaim | AwaitOrigin
Action = Proceed | Refuse | Replay | Rewind | Deliver | Perform
