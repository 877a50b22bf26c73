"""Claims of idempotency keys, as the store keeps them."""

from __future__ import annotations

import base64
import enum
import json

from yuccahitch import records
from yuccahitch.messages import answers, store


class State(enum.Enum):
    """State of the first request with a key."""

    CLAIMING = "claiming"  # the claim of its key is being written to the store
    RUNNING = "running"  # it was admitted and may run on an upstream
    DONE = "done"  # it ran and its answer was delivered
    UNSETTLED = "unsettled"  # it may have run; its outcome is unknown


class Claim(records.Record):
    """The record of one idempotency key in the store.

    Attributes:
        claim_id: Unique id of the claim.
        instance: Id of the instance that runs the request.
        digest: Digest of the request.
        state: ``running``, ``done`` or ``unsettled``.
        answer: The recorded answer, or None if it was not kept.
        revision: Store revision of the record; 0 until it is stored.
    """

    __slots__ = ("claim_id", "instance", "digest", "state", "answer", "revision")

    def __init__(
        self,
        *,
        claim_id: str,
        instance: str,
        digest: str,
        state: State = State.RUNNING,
        answer: answers.RecordedAnswer | None = None,
        revision: int = 0,
    ) -> None:
        self.claim_id = claim_id
        self.instance = instance
        self.digest = digest
        self.state = state
        self.answer = answer
        self.revision = revision

    def to_bytes(self) -> bytes:
        """Return the JSON form in which the claim is stored."""
        data = {
            "claim_id": self.claim_id,
            "instance": self.instance,
            "digest": self.digest,
            "state": self.state.value,
        }
        if self.answer is not None:
            data["answer"] = {
                "status": self.answer.status,
                "headers": [list(pair) for pair in self.answer.headers],
                "body": base64.b64encode(self.answer.body).decode(),
                "whole": self.answer.has_body,
            }
        return json.dumps(data).encode()


def from_item(item: store.KeyValue) -> Claim:
    """Return the claim that a store item holds."""
    data = json.loads(item.value)
    stored_answer = data.get("answer")
    answer = None
    if stored_answer is not None:
        answer = answers.RecordedAnswer(
            status=stored_answer["status"],
            headers=tuple((name, value) for name, value in stored_answer["headers"]),
            body=base64.b64decode(stored_answer["body"]),
            has_body=stored_answer["whole"],
        )
    return Claim(
        claim_id=data["claim_id"],
        instance=data["instance"],
        digest=data["digest"],
        state=State(data["state"]),
        answer=answer,
        revision=item.revision,
    )
