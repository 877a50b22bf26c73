"""Idempotency keys: a request that must not run twice runs at most once.

Keys minted by this instance are decided by its own memory, so they need no store. Keys that callers
choose are UUIDs of version 7, which carry their time, and are claimed in the store before a byte
goes to an upstream. Past its lifetime a key is refused, never run again.
"""

from __future__ import annotations

import base64
import enum
import functools
import hashlib
import hmac
import json
import typing
import uuid

from yuccahitch import errors, events, records
from yuccahitch.messages import answers, commands, store

STEP = "idempotency"
PREFIX = "claims/"
MINTED = "yop1"
SIGNATURE_CHARACTERS = 32
MAX_OPERATIONS = 15_000
MAX_ANSWER_BYTES = 65_536
MAX_ANSWERS_BYTES = 2_097_152
CLOCK_SKEW_S = 300.0
LEASE_PERIOD_S = 600.0
COMMITS_PER_CALL = 32
CLAIM_WAIT_S = 3.0
RUNNING_RETRY_S = 1.0


class State(enum.Enum):
    """How far the request of a key has come."""

    CLAIMING = "claiming"
    RUNNING = "running"
    DONE = "done"
    UNSETTLED = "unsettled"


class Operation(records.Record):
    """What is known of one idempotency key.

    Attributes:
        key: The account and the key.
        digest: Digest of the request that came with it first.
        request_id: The request that runs it.
        state: How far it has come.
        answer: The recorded answer, once it is there.
        expires: When it is forgotten, in seconds of calendar time.
        claim: Its claim in the store, or None for a minted key.
    """

    __slots__ = ("key", "digest", "request_id", "state", "answer", "expires", "claim")

    def __init__(self, *, key: str, digest: str, request_id: str, expires: float) -> None:
        self.key = key
        self.digest = digest
        self.request_id = request_id
        self.state = State.CLAIMING
        self.answer: answers.RecordedAnswer | None = None
        self.expires = expires
        self.claim: Claim | None = None


class Claim(records.Record):
    """A key's record in the store.

    Attributes:
        claim_id: Unique id of the claim.
        instance: Instance that runs the request.
        digest: Digest of the request.
        state: ``running``, ``done`` or ``unsettled``.
        answer: The recorded answer, if it was kept.
        revision: The store's revision of the record.
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
        """Return the record as it is kept in the store."""
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


def claim_from_item(item: store.KeyValue) -> Claim:
    """Read a claim from the store."""
    data = json.loads(item.value)
    kept = data.get("answer")
    answer = None
    if kept is not None:
        answer = answers.RecordedAnswer(
            status=kept["status"],
            headers=tuple((name, value) for name, value in kept["headers"]),
            body=base64.b64decode(kept["body"]),
            has_body=kept["whole"],
        )
    return Claim(
        claim_id=data["claim_id"],
        instance=data["instance"],
        digest=data["digest"],
        state=State(data["state"]),
        answer=answer,
        revision=item.revision,
    )


class ClaimsLease(records.Record):
    """Purpose: a lease for claims was asked for."""

    __slots__ = ()


class Claiming(records.Record):
    """Purpose: a group of claims."""

    __slots__ = ("operations",)

    def __init__(self, operations: list[Operation]) -> None:
        self.operations = operations


class Settling(records.Record):
    """Purpose: a group of outcomes and releases of claims."""

    __slots__ = ("commits",)

    def __init__(self, commits: list[store.Commit]) -> None:
        self.commits = commits


class Minted(records.Record):
    """A key minted by an instance, as read from its text.

    Attributes:
        instance: The instance that minted it.
        account: The client account that it was minted for.
        expires: End of its lifetime, in seconds of calendar time.
    """

    __slots__ = ("instance", "account", "expires")

    def __init__(self, *, instance: str, account: str, expires: float) -> None:
        self.instance = instance
        self.account = account
        self.expires = expires


class Operations:
    """Decides about requests that carry an idempotency key.

    Args:
        instance: Id of this instance.
        secret: Secret of the fleet, for signatures.
        lifetime_s: Lifetime of keys, in seconds.
        new_id: Makes unique ids.
    """

    __slots__ = (
        "instance",
        "secret",
        "lifetime_s",
        "new_id",
        "table",
        "answers_bytes",
        "to_claim",
        "to_settle",
        "claiming",
        "settling",
        "lease",
        "lease_until",
        "leasing",
        "waiting_until",
        "outbox",
    )

    def __init__(
        self,
        instance: str,
        *,
        secret: str,
        lifetime_s: float = 3600.0,
        new_id: typing.Callable[[], str],
    ) -> None:
        self.instance = instance
        self.secret = secret.encode()
        self.lifetime_s = lifetime_s
        self.new_id = new_id
        self.table: dict[str, Operation] = {}
        self.answers_bytes = 0
        self.to_claim: list[Operation] = []
        self.to_settle: list[store.Commit] = []
        self.claiming = False
        self.settling = False
        self.lease = 0
        self.lease_until = 0.0
        self.leasing = False
        self.waiting_until: dict[str, float] = {}
        self.outbox: list[commands.Command] = []

    def mint(self, account: str, wall: float) -> str:
        """Return a new key for an account; only this incarnation of the instance runs it."""
        expires = int(wall + self.lifetime_s)
        text = f"{MINTED}:{self.instance}:{account}:{expires}:{self.new_id()}"
        return f"{text}:{self._sign(text)}"

    def read_minted(self, key: str) -> Minted | None:
        """Return what a minted key says, or None for a key that a caller chose.

        Raises:
            errors.GatewayError: ``operation-invalid`` when its signature is wrong.
        """
        if not key.startswith(f"{MINTED}:"):
            return None
        text, _, signature = key.rpartition(":")
        if not hmac.compare_digest(signature.encode(), self._sign(text).encode()):
            raise _refusal(errors.Code.OPERATION_INVALID, "the signature is wrong")
        _, instance, account, expires, _ = text.split(":")
        return Minted(instance=instance, account=account, expires=float(expires))

    def expiry(self, key: str, wall: float) -> float:
        """Return the end of the lifetime of a key that a caller chose.

        Raises:
            errors.GatewayError: When it is not a UUID of version 7, or past its lifetime.
        """
        try:
            parsed = uuid.UUID(key)
        except ValueError:
            parsed = None
        if parsed is None or parsed.version != 7:
            detail = "use a key from /v1/operations or a UUID of version 7"
            raise _refusal(errors.Code.OPERATION_INVALID, detail)
        made_at = (parsed.int >> 80) / 1000
        if made_at > wall + CLOCK_SKEW_S:
            raise _refusal(errors.Code.OPERATION_INVALID, "the key's time is in the future")
        return made_at + self.lifetime_s

    def find(self, account: str, key: str) -> Operation | None:
        """Return what is known of a key here."""
        return self.table.get(_name(account, key))

    def begin(
        self, account: str, key: str, *, digest: str, request_id: str, expires: float
    ) -> Operation:
        """Record that a request with a new key begins.

        Raises:
            errors.GatewayError: ``overloaded`` when no more keys can be remembered.
        """
        if len(self.table) >= MAX_OPERATIONS:
            raise _refusal(errors.Code.OVERLOADED, "too many idempotency keys are in use")
        item = Operation(
            key=_name(account, key), digest=digest, request_id=request_id, expires=expires
        )
        self.table[item.key] = item
        return item

    def claim(self, item: Operation, now: float) -> None:
        """Claim a key in the store; the request is woken when that is decided."""
        claim_id = f"{self.instance}/{self.new_id()}"
        item.claim = Claim(claim_id=claim_id, instance=self.instance, digest=item.digest)
        self.waiting_until[item.request_id] = now + CLAIM_WAIT_S
        self.to_claim.append(item)

    def not_run(self, item: Operation) -> None:
        """Forget a key whose request surely did not run."""
        self._drop(item)
        self.waiting_until.pop(item.request_id, None)
        if item.claim is not None and item.claim.revision:
            key = _store_key(item)
            commit = store.Commit(
                conditions=[store.Condition(key, item.claim.revision)], changes=[store.Delete(key)]
            )
            self.to_settle.append(commit)

    def unsettled(self, item: Operation) -> None:
        """Keep a key whose request may have run: it never runs again."""
        item.state = State.UNSETTLED
        self._record(item)

    def done(self, item: Operation, answer: answers.RecordedAnswer | None) -> None:
        """Keep the answer to a key's request."""
        item.state = State.DONE
        if answer is not None and answer.has_body:
            item.answer = answer
            self.answers_bytes += len(answer.body)
        self._record(item)
        self._shed_answers()

    def tick(self, now: float, wall: float) -> None:
        """Send claims and outcomes, refuse those who waited too long, forget old keys."""
        for request_id in [r for r, until in self.waiting_until.items() if now >= until]:
            del self.waiting_until[request_id]
            self._deny(request_id, errors.Code.CLAIM_UNAVAILABLE)
        for item in [item for item in self.table.values() if wall >= item.expires]:
            if item.state is not State.RUNNING:
                self._drop(item)
        self.flush(wall)

    def flush(self, wall: float) -> None:
        """Send what waits for the store, many in one call."""
        lease_s = self.lifetime_s + 2 * CLOCK_SKEW_S + LEASE_PERIOD_S
        if (self.to_claim or self.to_settle) and wall >= self.lease_until and not self.leasing:
            self.leasing = True
            self.outbox.append(commands.StoreCall(store.GrantLease(lease_s), ClaimsLease()))
        if self.to_claim and not self.claiming and wall < self.lease_until:
            group, self.to_claim = _split(self.to_claim)
            self.claiming = True
            commits = [_claim_commit(item, self.lease) for item in group]
            call = store.CommitMany(commits)
            self.outbox.append(commands.StoreCall(call, Claiming(group)))
        if self.to_settle and not self.settling:
            group, self.to_settle = _split(self.to_settle)
            self.settling = True
            call = store.CommitMany(group)
            self.outbox.append(commands.StoreCall(call, Settling(group)))

    def on_store(
        self, purpose: typing.Any, reply: store.Reply, sent_at: float, now: float, wall: float
    ) -> None:
        """Take in the store's reply to a call of this controller."""
        _on_store(purpose, self, reply, wall)
        self.flush(wall)

    def _sign(self, text: str) -> str:
        mac = hmac.new(self.secret, text.encode(), hashlib.sha256)
        return mac.hexdigest()[:SIGNATURE_CHARACTERS]

    def _record(self, item: Operation) -> None:
        """Write how far a claimed key has come, so that other instances can tell."""
        if item.claim is None:
            return
        item.claim.state = item.state
        item.claim.answer = item.answer
        key = _store_key(item)
        commit = store.Commit(
            conditions=[store.Condition(key, item.claim.revision)],
            changes=[store.Put(key, item.claim.to_bytes(), lease=self.lease)],
        )
        self.to_settle.append(commit)

    def _drop(self, item: Operation) -> None:
        if self.table.get(item.key) is item:
            del self.table[item.key]
            self.answers_bytes -= len(item.answer.body) if item.answer is not None else 0

    def _shed_answers(self) -> None:
        """Drop the oldest answers beyond the bound; their keys stay."""
        if self.answers_bytes <= MAX_ANSWERS_BYTES:
            return
        for item in self.table.values():
            if item.answer is not None:
                self.answers_bytes -= len(item.answer.body)
                item.answer = None
            if self.answers_bytes <= MAX_ANSWERS_BYTES:
                return

    def _deny(self, request_id: str, code: errors.Code) -> None:
        error = errors.GatewayError(code, step=STEP, peer="store", retry_after=RUNNING_RETRY_S)
        self.outbox.append(commands.WakeRequest(request_id, commands.WaitDenied(error)))

    def _decide(self, item: Operation, reply: store.CommitReply) -> None:
        """Decide a claim: it is ours, or another's whose outcome the caller is told."""
        waiting = self.waiting_until.pop(item.request_id, None) is not None
        stored = claim_from_item(reply.items[0]) if reply.items else None
        ours = reply.applied or (stored is not None and stored.claim_id == item.claim.claim_id)
        if ours:
            item.claim.revision = reply.revision if reply.applied else stored.revision
            if not waiting:
                self.not_run(item)
                return
            item.state = State.RUNNING
            note = commands.LogEvent(events.Event.OPERATION_CLAIMED, request=item.request_id)
            self.outbox.append(note)
            self.outbox.append(commands.WakeRequest(item.request_id, commands.WaitGranted()))
            return
        self._drop(item)
        if waiting:
            self.outbox.append(commands.WakeRequest(item.request_id, stored))


@functools.singledispatch
def _on_store(purpose: typing.Any, operations: Operations, reply: store.Reply, wall: float) -> None:
    raise TypeError(type(purpose))


@_on_store.register
def _(purpose: ClaimsLease, operations: Operations, reply: store.Reply, wall: float) -> None:
    operations.leasing = False
    if type(reply) is store.LeaseReply and reply.lease:
        operations.lease = reply.lease
        operations.lease_until = wall + LEASE_PERIOD_S


@_on_store.register
def _(purpose: Claiming, operations: Operations, reply: store.Reply, wall: float) -> None:
    operations.claiming = False
    if type(reply) is not store.CommitManyReply:
        # A claim whose answer was lost is sent again: its id tells whether the first one counted.
        waiting = operations.waiting_until
        operations.to_claim = [
            item for item in purpose.operations if item.request_id in waiting
        ] + operations.to_claim
        for item in purpose.operations:
            if item.request_id not in waiting:
                operations._drop(item)
        return
    for item, decided in zip(purpose.operations, reply.replies, strict=True):
        operations._decide(item, decided)


@_on_store.register
def _(purpose: Settling, operations: Operations, reply: store.Reply, wall: float) -> None:
    operations.settling = False
    if type(reply) is store.CallFailed:
        operations.to_settle = purpose.commits + operations.to_settle
        del operations.to_settle[MAX_OPERATIONS:]


def _split(items: list) -> tuple[list, list]:
    return items[:COMMITS_PER_CALL], items[COMMITS_PER_CALL:]


def _claim_commit(item: Operation, lease: int) -> store.Commit:
    key = _store_key(item)
    return store.Commit(
        conditions=[store.Condition(key, 0)],
        changes=[store.Put(key, item.claim.to_bytes(), lease=lease)],
    )


def _store_key(item: Operation) -> str:
    return PREFIX + hashlib.sha256(item.key.encode()).hexdigest()


def _name(account: str, key: str) -> str:
    return f"{account}\0{key}"


def _refusal(code: errors.Code, detail: str) -> errors.GatewayError:
    return errors.GatewayError(code, step=STEP, detail=detail)
