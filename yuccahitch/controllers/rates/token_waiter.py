"""A request that waits for tokens of its client account's rate."""

from __future__ import annotations

import math

from yuccahitch import records
from yuccahitch.messages import peers


class TokenWaiter(records.Record):
    """A request that waits for tokens.

    Attributes:
        request_id: Id of the request.
        tokens: Tokens that it needs.
        waiting_since: When it began to wait, in monotonic seconds.
        deadline: Deadline of the request, in monotonic seconds.
        pending_lenders: Instance ids of the lenders that have not answered yet.
        lender_rounds: Lenders still to be asked; those of one list are asked at the same time.
        next_round_at: When the lenders are chosen and asked anew, in monotonic seconds, or
            infinity.
    """

    __slots__ = (
        "request_id",
        "tokens",
        "waiting_since",
        "deadline",
        "pending_lenders",
        "lender_rounds",
        "next_round_at",
    )

    def __init__(
        self, request_id: str, *, tokens: int, waiting_since: float, deadline: float
    ) -> None:
        self.request_id = request_id
        self.tokens = tokens
        self.waiting_since = waiting_since
        self.deadline = deadline
        self.pending_lenders: set[str] = set()
        self.lender_rounds: list[list[peers.InstanceInfo]] = []
        self.next_round_at = math.inf
