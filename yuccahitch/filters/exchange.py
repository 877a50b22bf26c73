"""The state of one request on its way through the chain."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers import basis
from yuccahitch.messages import answers, requests
from yuccahitch.resources import account, route, service


class Exchange:
    """A request with what the filters found out about it.

    Attributes:
        request: The request.
        hop: What came with it from a peer, or None at the entry.
        began: Time of arrival, in monotonic seconds.
        account: Client account that it runs for.
        key_name: Name of the key that came with it, or empty.
        route: Its route.
        service: Its service.
        regions: Regions where its data may reside; None means every region.
        idempotent: Whether it may run more than once.
        reserved: Tokens taken from the client account's rate.
        output_limit: Limit of the answer, in tokens.
        operation: State of its idempotency key, as far as it is known, for refusals.
        upstream: Name of the upstream it is at, or empty.
        instance: Id of the instance it is at, or empty.
        attempt: Attempts so far.
        tried: Upstreams and instances that failed it.
        reached: Whether an upstream can have received a byte of it.
        head: Beginning of the answer, once it is there.
        usage: Tokens used, once they are known.
        succeeded: Whether the whole answer was passed on.
        recorded: The answer, kept for repeats of the idempotency key.
        last_error: Why its last attempt failed, or None.
        declined: Whether an instance of another region had no place for it.
        better_than_s: First-token time here when it was forwarded, in seconds.
        give_up_at: When the caller or the route gives it up, in monotonic seconds.
        runs: Upstreams that may have run it.
        sends: Times that it was sent on.
        began_attempt: Attempt whose answer began, or 0.
        last_event: Id of the last event that was passed on, or empty.
        tokens_left: Tokens that its client account has left here, or None where none are counted.
        basis: What its last placement was decided on, or None.
        entered: Filters entered, whose ``leave`` is owed.
    """

    __slots__ = (
        "request",
        "hop",
        "began",
        "account",
        "key_name",
        "route",
        "service",
        "regions",
        "idempotent",
        "reserved",
        "output_limit",
        "operation",
        "upstream",
        "instance",
        "attempt",
        "tried",
        "reached",
        "head",
        "usage",
        "succeeded",
        "recorded",
        "last_error",
        "declined",
        "better_than_s",
        "give_up_at",
        "runs",
        "sends",
        "began_attempt",
        "last_event",
        "tokens_left",
        "basis",
        "entered",
    )

    def __init__(
        self, request: requests.Request, *, began: float, hop: requests.Hop | None = None
    ) -> None:
        self.request = request
        self.hop = hop
        self.began = began
        self.account: account.Account | None = None
        self.key_name = ""
        self.route: route.Route | None = None
        self.service: service.Service | None = None
        self.regions: frozenset[str] | None = None
        self.idempotent = True
        self.reserved = 0
        self.output_limit = 0
        self.operation = ""
        self.upstream = ""
        self.instance = ""
        self.attempt = 0
        self.tried: list[str] = []
        self.reached = False
        self.head: answers.Head | None = None
        self.usage = answers.Usage()
        self.succeeded = False
        self.recorded: answers.RecordedAnswer | None = None
        self.last_error: errors.GatewayError | None = None
        self.declined = False
        self.better_than_s = 0.0
        self.give_up_at = request.deadline
        self.runs = 0
        self.sends = 0
        self.began_attempt = 0
        self.last_event = ""
        self.tokens_left: float | None = None
        self.basis: basis.Basis | None = None
        self.entered: list[str] = []

    @property
    def id(self) -> str:
        """Return the request's id."""
        return self.request.id


def rank(item: Exchange) -> int:
    """Return the rank of a request, that of its client account before that of its route."""
    given = item.account.priority
    return item.route.priority if given is None else given
