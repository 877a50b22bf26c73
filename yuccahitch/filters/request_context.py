"""The state of one request while the filters process it."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers.placement import placement_inputs
from yuccahitch.controllers.runs import crash_evidence
from yuccahitch.controllers.versions import stream_origins
from yuccahitch.messages import answers, requests
from yuccahitch.resources import account, route, service


class RequestContext:
    """A request with all that the filters know of it.

    Attributes:
        request: The request.
        hop: What the sender tells of a forwarded request, or None if it came from a caller.
        arrived_at: When it arrived, in monotonic seconds.
        account: Client account that it runs for, once that is known.
        key_name: Name of the key that it carries, or empty.
        route: Its route, once that is known.
        service: Its service, once that is known.
        regions: Regions where its data may reside; None means every region.
        idempotent: Whether it may run more than once.
        reserved_tokens: Tokens taken from the client account's rate and not settled yet.
        output_token_limit: Limit of the answer, in tokens; 0 if the gateway sets none.
        operation_state: State of its idempotency key, for refusals; ``unknown`` until it is looked
            up, empty without a key.
        upstream: Name of the upstream chosen for it, or empty.
        instance: Id of the instance chosen to forward it to, or empty.
        attempt: Number of the latest attempt, from 1; 0 before the first.
        failed_targets: Upstreams and instances whose attempt failed; later attempts avoid them.
        reached_upstream: Whether the reply to an attempt said that an upstream may have received a
            byte of it.
        attempt_open: Whether an attempt was sent on and has not been replied to.
        head: Status and headers of the answer, once it began.
        usage: Tokens used, set when the request is over.
        succeeded: Whether the whole answer was passed on, set when the request is over.
        recorded_answer: The whole answer, kept for repeats of the idempotency key, or None.
        last_error: Error of its latest failed attempt, or None.
        forward_declined: Whether an instance of another region declined it; it is then placed in
            this region only.
        better_than_s: Estimated time to the first token in this region when it was forwarded, in
            seconds; 0 if it can't be served here.
        give_up_at: When it is given up, in monotonic seconds: at the caller's deadline, or at the
            timeout of its published route if that is earlier.
        possible_runs: Number of attempts that an upstream may have run.
        send_count: Number of attempts made by ``filters.send``.
        answered_attempt: Number of the latest attempt whose answer began, or 0.
        answer_began_at: When that answer began, in monotonic seconds.
        received_at: When the whole answer had come while the caller had not read it, in monotonic
            seconds, or None.
        crashes: Crashes of upstreams in its attempts, in their order, those that came with the hop
            included.
        origin_version: Software version that began its stream, once that is known; the stream goes
            on only there. None on routes whose streams can't be resumed.
        stream_key: Key of its stream, or None where streams can't be resumed.
        stream: Its stream, once it has begun or gone on here and may be taken up, or None.
        versions: Software versions whose upstreams may get its present attempt; None means every
            one.
        last_event_id: Id of the last event of a stream that the caller was sent, or empty.
        tokens_left: Tokens that its client account has left on this instance, below 0 if overdrawn;
            None without a rate.
        placement_inputs: Inputs of its latest placement decision, for the log, or None.
        entered_steps: Steps of the entered filters whose ``leave`` is still to be called.
    """

    __slots__ = (
        "request",
        "hop",
        "arrived_at",
        "account",
        "key_name",
        "route",
        "service",
        "regions",
        "idempotent",
        "reserved_tokens",
        "output_token_limit",
        "operation_state",
        "upstream",
        "instance",
        "attempt",
        "failed_targets",
        "reached_upstream",
        "attempt_open",
        "head",
        "usage",
        "succeeded",
        "recorded_answer",
        "last_error",
        "forward_declined",
        "better_than_s",
        "give_up_at",
        "possible_runs",
        "send_count",
        "answered_attempt",
        "answer_began_at",
        "received_at",
        "crashes",
        "origin_version",
        "stream_key",
        "stream",
        "versions",
        "last_event_id",
        "tokens_left",
        "placement_inputs",
        "entered_steps",
    )

    def __init__(
        self, request: requests.Request, *, arrived_at: float, hop: requests.Hop | None = None
    ) -> None:
        self.request = request
        self.hop = hop
        self.arrived_at = arrived_at
        self.account: account.Account | None = None
        self.key_name = ""
        self.route: route.Route | None = None
        self.service: service.Service | None = None
        self.regions: frozenset[str] | None = None
        self.idempotent = True
        self.reserved_tokens = 0
        self.output_token_limit = 0
        self.operation_state = ""
        self.upstream = ""
        self.instance = ""
        self.attempt = 0
        self.failed_targets: list[str] = []
        self.reached_upstream = False
        self.attempt_open = False
        self.head: answers.Head | None = None
        self.usage = answers.Usage()
        self.succeeded = False
        self.recorded_answer: answers.RecordedAnswer | None = None
        self.last_error: errors.GatewayError | None = None
        self.forward_declined = False
        self.better_than_s = 0.0
        self.give_up_at = request.deadline
        self.possible_runs = 0
        self.send_count = 0
        self.answered_attempt = 0
        self.answer_began_at = 0.0
        self.received_at: float | None = None
        self.crashes: list[crash_evidence.Crash] = []
        self.origin_version: str | None = None
        self.stream_key: int | None = None
        self.stream: stream_origins.OwnStream | None = None
        self.versions: frozenset[str] | None = None
        self.last_event_id = ""
        self.tokens_left: float | None = None
        self.placement_inputs: placement_inputs.PlacementInputs | None = None
        self.entered_steps: list[str] = []

    @property
    def id(self) -> str:
        """Return the id of the request."""
        return self.request.id

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have received a byte of the request."""
        return self.reached_upstream or self.attempt_open

    def record_answer_begin(self, now: float) -> None:
        """Record that the answer of the present attempt began."""
        self.answered_attempt = self.attempt
        self.answer_began_at = now
        self.reached_upstream = True


def effective_priority(context: RequestContext) -> int:
    """Return the priority of the client account, or of the route if the account has none."""
    given = context.account.priority
    return context.route.priority if given is None else given
