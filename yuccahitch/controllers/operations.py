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
MINTED_KEY_PREFIX = "yop1"
SIGNATURE_CHARACTERS = 32
MAX_OPERATIONS = 15_000
MAX_ANSWER_BYTES = 65_536
MAX_KEPT_ANSWER_BYTES = 2_097_152
CLOCK_SKEW_S = 300.0
LEASE_PERIOD_S = 600.0
MAX_COMMITS_PER_CALL = 32
CLAIM_TIMEOUT_S = 3.0
RETRY_AFTER_S = 1.0


class State(enum.Enum):
    """How far the request of a key has come."""

    CLAIMING = "claiming"
    RUNNING = "running"
    DONE = "done"
    UNSETTLED = "unsettled"


class Operation(records.Record):
    """What is known of one idempotency key.

    Attributes:
        table_key: The account and the key.
        digest: Digest of the request that came with it first.
        request_id: The request that runs it.
        state: How far it has come.
        answer: The recorded answer, once it is there.
        expires_at: When it is forgotten, in seconds of calendar time.
        claim: Its claim in the store, or None for a minted key.
    """

    __slots__ = ("table_key", "digest", "request_id", "state", "answer", "expires_at", "claim")

    def __init__(self, *, table_key: str, digest: str, request_id: str, expires_at: float) -> None:
        self.table_key = table_key
        self.digest = digest
        self.request_id = request_id
        self.state = State.CLAIMING
        self.answer: answers.Recorded | None = None
        self.expires_at = expires_at
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
        answer: answers.Recorded | None = None,
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
                "whole": self.answer.whole,
            }
        return json.dumps(data).encode()


def claim_from_item(item: store.Item) -> Claim:
    """Read a claim from the store."""
    data = json.loads(item.value)
    stored_answer = data.get("answer")
    answer = None
    if stored_answer is not None:
        answer = answers.Recorded(
            status=stored_answer["status"],
            headers=tuple((name, value) for name, value in stored_answer["headers"]),
            body=base64.b64decode(stored_answer["body"]),
            whole=stored_answer["whole"],
        )
    return Claim(
        claim_id=data["claim_id"],
        instance=data["instance"],
        digest=data["digest"],
        state=State(data["state"]),
        answer=answer,
        revision=item.revision,
    )


class ClaimLeaseGrant(records.Record):
    """Purpose: a lease for claims was asked for."""

    __slots__ = ()


class ClaimBatch(records.Record):
    """Purpose: a group of claims."""

    __slots__ = ("operations",)

    def __init__(self, operations: list[Operation]) -> None:
        self.operations = operations


class SettlementBatch(records.Record):
    """Purpose: a group of outcomes and releases of claims."""

    __slots__ = ("commits",)

    def __init__(self, commits: list[store.Commit]) -> None:
        self.commits = commits


class MintedKey(records.Record):
    """A key minted by an instance, as read from its text.

    Attributes:
        instance: The instance that minted it.
        account: The client account that it was minted for.
        expires_at: End of its lifetime, in seconds of calendar time.
    """

    __slots__ = ("instance", "account", "expires_at")

    def __init__(self, *, instance: str, account: str, expires_at: float) -> None:
        self.instance = instance
        self.account = account
        self.expires_at = expires_at


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
        "kept_answer_bytes",
        "pending_claims",
        "pending_settlements",
        "claim_call_pending",
        "settlement_call_pending",
        "lease",
        "lease_renew_at",
        "lease_call_pending",
        "claim_deadlines",
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
        self.kept_answer_bytes = 0
        self.pending_claims: list[Operation] = []
        self.pending_settlements: list[store.Commit] = []
        self.claim_call_pending = False
        self.settlement_call_pending = False
        self.lease = 0
        self.lease_renew_at = 0.0
        self.lease_call_pending = False
        self.claim_deadlines: dict[str, float] = {}
        self.outbox: list[commands.Command] = []

    def mint_key(self, account: str, wall: float) -> str:
        """Return a new key for an account; only this incarnation of the instance runs it."""
        expires_at = int(wall + self.lifetime_s)
        text = f"{MINTED_KEY_PREFIX}:{self.instance}:{account}:{expires_at}:{self.new_id()}"
        return f"{text}:{self._sign(text)}"

    def parse_minted_key(self, key: str) -> MintedKey | None:
        """Return what a minted key says, or None for a key that a caller chose.

        Raises:
            errors.GatewayError: ``operation-invalid`` when its signature is wrong.
        """
        if not key.startswith(f"{MINTED_KEY_PREFIX}:"):
            return None
        text, _, signature = key.rpartition(":")
        if not hmac.compare_digest(signature.encode(), self._sign(text).encode()):
            raise _refusal(errors.Code.OPERATION_INVALID, "the signature is wrong")
        _, instance, account, expires_at, _ = text.split(":")
        return MintedKey(instance=instance, account=account, expires_at=float(expires_at))

    def key_expiry(self, key: str, wall: float) -> float:
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
        created_at = (parsed.int >> 80) / 1000
        if created_at > wall + CLOCK_SKEW_S:
            raise _refusal(errors.Code.OPERATION_INVALID, "the key's time is in the future")
        return created_at + self.lifetime_s

    def find(self, account: str, key: str) -> Operation | None:
        """Return what is known of a key here."""
        return self.table.get(_table_key(account, key))

    def begin(
        self, account: str, key: str, *, digest: str, request_id: str, expires_at: float
    ) -> Operation:
        """Record that a request with a new key begins.

        Raises:
            errors.GatewayError: ``overloaded`` when no more keys can be remembered.
        """
        if len(self.table) >= MAX_OPERATIONS:
            raise _refusal(errors.Code.OVERLOADED, "too many idempotency keys are in use")
        operation = Operation(
            table_key=_table_key(account, key),
            digest=digest,
            request_id=request_id,
            expires_at=expires_at,
        )
        self.table[operation.table_key] = operation
        return operation

    def begin_claim(self, operation: Operation, now: float) -> None:
        """Claim a key in the store; the request is woken when that is decided."""
        claim_id = f"{self.instance}/{self.new_id()}"
        operation.claim = Claim(claim_id=claim_id, instance=self.instance, digest=operation.digest)
        self.claim_deadlines[operation.request_id] = now + CLAIM_TIMEOUT_S
        self.pending_claims.append(operation)

    def record_not_run(self, operation: Operation) -> None:
        """Forget a key whose request surely did not run."""
        self._remove(operation)
        self.claim_deadlines.pop(operation.request_id, None)
        if operation.claim is not None and operation.claim.revision:
            key = _store_key(operation)
            commit = store.Commit(
                expects=[store.Expect(key, operation.claim.revision)], changes=[store.Delete(key)]
            )
            self.pending_settlements.append(commit)

    def record_unsettled(self, operation: Operation) -> None:
        """Keep a key whose request may have run: it never runs again."""
        operation.state = State.UNSETTLED
        self._queue_state_write(operation)

    def record_done(self, operation: Operation, answer: answers.Recorded | None) -> None:
        """Keep the answer to a key's request."""
        operation.state = State.DONE
        if answer is not None and answer.whole:
            operation.answer = answer
            self.kept_answer_bytes += len(answer.body)
        self._queue_state_write(operation)
        self._evict_answers()

    def tick(self, now: float, wall: float) -> None:
        """Send claims and outcomes, refuse those who waited too long, forget old keys."""
        for request_id in [r for r, deadline in self.claim_deadlines.items() if now >= deadline]:
            del self.claim_deadlines[request_id]
            self._deny_request(request_id, errors.Code.CLAIM_UNAVAILABLE)
        for operation in [
            operation for operation in self.table.values() if wall >= operation.expires_at
        ]:
            if operation.state is not State.RUNNING:
                self._remove(operation)
        self.flush(wall)

    def flush(self, wall: float) -> None:
        """Send what waits for the store, many in one call."""
        lease_s = self.lifetime_s + 2 * CLOCK_SKEW_S + LEASE_PERIOD_S
        if (
            (self.pending_claims or self.pending_settlements)
            and wall >= self.lease_renew_at
            and not self.lease_call_pending
        ):
            self.lease_call_pending = True
            self.outbox.append(commands.StoreCall(store.GrantLease(lease_s), ClaimLeaseGrant()))
        if self.pending_claims and not self.claim_call_pending and wall < self.lease_renew_at:
            batch, self.pending_claims = _split_batch(self.pending_claims)
            self.claim_call_pending = True
            commits = [_claim_commit(operation, self.lease) for operation in batch]
            call = store.CommitMany(commits)
            self.outbox.append(commands.StoreCall(call, ClaimBatch(batch)))
        if self.pending_settlements and not self.settlement_call_pending:
            batch, self.pending_settlements = _split_batch(self.pending_settlements)
            self.settlement_call_pending = True
            call = store.CommitMany(batch)
            self.outbox.append(commands.StoreCall(call, SettlementBatch(batch)))

    def on_store(
        self, purpose: typing.Any, reply: store.Reply, sent_at: float, now: float, wall: float
    ) -> None:
        """Take in the store's reply to a call of this controller."""
        _on_store(purpose, self, reply, wall)
        self.flush(wall)

    def _sign(self, text: str) -> str:
        mac = hmac.new(self.secret, text.encode(), hashlib.sha256)
        return mac.hexdigest()[:SIGNATURE_CHARACTERS]

    def _queue_state_write(self, operation: Operation) -> None:
        """Write how far a claimed key has come, so that other instances can tell."""
        if operation.claim is None:
            return
        operation.claim.state = operation.state
        operation.claim.answer = operation.answer
        key = _store_key(operation)
        commit = store.Commit(
            expects=[store.Expect(key, operation.claim.revision)],
            changes=[store.Put(key, operation.claim.to_bytes(), lease=self.lease)],
        )
        self.pending_settlements.append(commit)

    def _remove(self, operation: Operation) -> None:
        if self.table.get(operation.table_key) is operation:
            del self.table[operation.table_key]
            self.kept_answer_bytes -= (
                len(operation.answer.body) if operation.answer is not None else 0
            )

    def _evict_answers(self) -> None:
        """Drop the oldest answers beyond the bound; their keys stay."""
        if self.kept_answer_bytes <= MAX_KEPT_ANSWER_BYTES:
            return
        for operation in self.table.values():
            if operation.answer is not None:
                self.kept_answer_bytes -= len(operation.answer.body)
                operation.answer = None
            if self.kept_answer_bytes <= MAX_KEPT_ANSWER_BYTES:
                return

    def _deny_request(self, request_id: str, code: errors.Code) -> None:
        error = errors.GatewayError(code, step=STEP, peer="store", retry_after=RETRY_AFTER_S)
        self.outbox.append(commands.Wake(request_id, commands.Denied(error)))

    def _apply_claim_result(self, operation: Operation, reply: store.Committed) -> None:
        """Decide a claim: it is ours, or another's whose outcome the caller is told."""
        still_waiting = self.claim_deadlines.pop(operation.request_id, None) is not None
        stored_claim = claim_from_item(reply.items[0]) if reply.items else None
        is_own_claim = reply.applied or (
            stored_claim is not None and stored_claim.claim_id == operation.claim.claim_id
        )
        if is_own_claim:
            operation.claim.revision = reply.revision if reply.applied else stored_claim.revision
            if not still_waiting:
                self.record_not_run(operation)
                return
            operation.state = State.RUNNING
            log_event = commands.Note(events.Event.OPERATION_CLAIMED, request=operation.request_id)
            self.outbox.append(log_event)
            self.outbox.append(commands.Wake(operation.request_id, commands.Granted()))
            return
        self._remove(operation)
        if still_waiting:
            self.outbox.append(commands.Wake(operation.request_id, stored_claim))


@functools.singledispatch
def _on_store(purpose: typing.Any, operations: Operations, reply: store.Reply, wall: float) -> None:
    raise TypeError(type(purpose))


@_on_store.register
def _(purpose: ClaimLeaseGrant, operations: Operations, reply: store.Reply, wall: float) -> None:
    operations.lease_call_pending = False
    if type(reply) is store.Leased and reply.lease:
        operations.lease = reply.lease
        operations.lease_renew_at = wall + LEASE_PERIOD_S


@_on_store.register
def _(purpose: ClaimBatch, operations: Operations, reply: store.Reply, wall: float) -> None:
    operations.claim_call_pending = False
    if type(reply) is not store.CommittedMany:
        # A claim whose answer was lost is sent again: its id tells whether the first one counted.
        deadlines = operations.claim_deadlines
        operations.pending_claims = [
            operation for operation in purpose.operations if operation.request_id in deadlines
        ] + operations.pending_claims
        for operation in purpose.operations:
            if operation.request_id not in deadlines:
                operations._remove(operation)
        return
    for operation, result in zip(purpose.operations, reply.replies, strict=True):
        operations._apply_claim_result(operation, result)


@_on_store.register
def _(purpose: SettlementBatch, operations: Operations, reply: store.Reply, wall: float) -> None:
    operations.settlement_call_pending = False
    if type(reply) is store.Failed:
        operations.pending_settlements = purpose.commits + operations.pending_settlements
        del operations.pending_settlements[MAX_OPERATIONS:]


def _split_batch(items: list) -> tuple[list, list]:
    return items[:MAX_COMMITS_PER_CALL], items[MAX_COMMITS_PER_CALL:]


def _claim_commit(operation: Operation, lease: int) -> store.Commit:
    key = _store_key(operation)
    return store.Commit(
        expects=[store.Expect(key, 0)],
        changes=[store.Put(key, operation.claim.to_bytes(), lease=lease)],
    )


def _store_key(operation: Operation) -> str:
    return PREFIX + hashlib.sha256(operation.table_key.encode()).hexdigest()


def _table_key(account: str, key: str) -> str:
    return f"{account}\0{key}"


def _refusal(code: errors.Code, detail: str) -> errors.GatewayError:
    return errors.GatewayError(code, step=STEP, detail=detail)
