"""Idempotency keys: a request that must not run twice runs at most once.

An instance decides about the keys that it minted from its own memory, without the store. Keys that
callers choose are UUIDs of version 7, which contain their creation time; they are claimed in the
store before a byte is sent to an upstream. A request with an expired key is refused, never run.
"""

from __future__ import annotations

import functools
import hashlib
import hmac
import typing
import uuid

from yuccahitch import errors, events, records
from yuccahitch.controllers.runs import claims
from yuccahitch.messages import answers, commands, store

STEP = "idempotency"
PREFIX = "claims/"
MINTED_KEY_PREFIX = "yop1"
SIGNATURE_CHARACTERS = 32
MAX_OPERATIONS = 15_000
MAX_ANSWER_BYTES = 65_536
MAX_KEPT_ANSWER_BYTES = 2_097_152
CLOCK_SKEW_S = 300.0
# Claims are bound to the same lease for this long; then a new lease is granted.
LEASE_PERIOD_S = 600.0
MAX_COMMITS_PER_CALL = 32
CLAIM_TIMEOUT_S = 3.0
RETRY_AFTER_S = 1.0


class Operation(records.Record):
    """The record of one idempotency key in this instance's memory.

    Attributes:
        table_key: The account and the key, by which the record is found.
        digest: Digest of the first request with the key.
        request_id: Id of that request.
        state: State of that request.
        answer: Its recorded answer, or None if there is none or it was evicted.
        expires_at: When the key expires, in seconds of calendar time.
        claim: The claim of the key in the store, or None for a minted key.
    """

    __slots__ = ("table_key", "digest", "request_id", "state", "answer", "expires_at", "claim")

    def __init__(self, *, table_key: str, digest: str, request_id: str, expires_at: float) -> None:
        self.table_key = table_key
        self.digest = digest
        self.request_id = request_id
        self.state = claims.State.CLAIMING
        self.answer: answers.RecordedAnswer | None = None
        self.expires_at = expires_at
        self.claim: claims.Claim | None = None


class ClaimLeaseGrant(records.Record):
    """Purpose of the call that requests a lease for claims."""

    __slots__ = ()


class ClaimBatch(records.Record):
    """Purpose of the call that writes a batch of claims, one commit for each operation."""

    __slots__ = ("operations",)

    def __init__(self, operations: list[Operation]) -> None:
        self.operations = operations


class SettlementBatch(records.Record):
    """Purpose of the call that writes outcomes and deletes claims; sent again if it fails."""

    __slots__ = ("commits",)

    def __init__(self, commits: list[store.Commit]) -> None:
        self.commits = commits


class MintedKey(records.Record):
    """The parts of a minted idempotency key.

    Attributes:
        instance: Id of the instance that minted the key.
        account: Name of the client account that it was minted for.
        expires_at: When it expires, in seconds of calendar time.
    """

    __slots__ = ("instance", "account", "expires_at")

    def __init__(self, *, instance: str, account: str, expires_at: float) -> None:
        self.instance = instance
        self.account = account
        self.expires_at = expires_at


class Operations:
    """Keeps the idempotency keys in use; claims caller-chosen keys in the store.

    Args:
        instance: Id of this instance.
        secret: Secret of the fleet, which signs minted keys.
        lifetime_s: Lifetime of keys, in seconds.
        new_id: Returns a new unique id.

    Arguments named ``wall`` are calendar time in seconds since the Unix epoch.
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
        self.table: dict[str, Operation] = {}  # by account and key, in the order of arrival
        self.kept_answer_bytes = 0  # sum of the bodies of the answers in the table
        self.pending_claims: list[Operation] = []  # claims not sent to the store yet
        self.pending_settlements: list[store.Commit] = []  # outcomes and deletions not sent yet
        self.claim_call_pending = False  # a ClaimBatch awaits the store's reply
        self.settlement_call_pending = False  # a SettlementBatch awaits the store's reply
        self.lease = 0  # claims are bound to this lease of the store; 0 before the first one
        self.lease_renew_at = 0.0  # seconds of calendar time
        self.lease_call_pending = False  # a ClaimLeaseGrant awaits the store's reply
        self.claim_deadlines: dict[str, float] = {}  # by request id, in monotonic seconds
        self.outbox: list[commands.Command] = []

    def mint_key(self, account: str, wall: float) -> str:
        """Return a new key for an account; only this incarnation of the instance runs it."""
        expires_at = int(wall + self.lifetime_s)
        text = f"{MINTED_KEY_PREFIX}:{self.instance}:{account}:{expires_at}:{self.new_id()}"
        return f"{text}:{self._sign(text)}"

    def parse_minted_key(self, key: str) -> MintedKey | None:
        """Return the parts of a minted key, or None for a key that a caller chose.

        Raises:
            errors.GatewayError: ``operation-invalid`` if the signature does not match.
        """
        if not key.startswith(f"{MINTED_KEY_PREFIX}:"):
            return None
        text, _, signature = key.rpartition(":")
        if not hmac.compare_digest(signature.encode(), self._sign(text).encode()):
            raise _refusal(errors.Code.OPERATION_INVALID, "the key's signature does not match")
        _, instance, account, expires_at, _ = text.split(":")
        return MintedKey(instance=instance, account=account, expires_at=float(expires_at))

    def key_expiry(self, key: str, wall: float) -> float:
        """Return when a key that a caller chose expires, in seconds of calendar time.

        Raises:
            errors.GatewayError: ``operation-invalid`` if the key is not a UUID of version 7, or its
                timestamp is more than ``CLOCK_SKEW_S`` in the future.
        """
        try:
            parsed = uuid.UUID(key)
        except ValueError:
            parsed = None
        if parsed is None or parsed.version != 7:
            detail = "the key must come from /v1/operations or be a UUID of version 7"
            raise _refusal(errors.Code.OPERATION_INVALID, detail)
        created_at = (parsed.int >> 80) / 1000
        if created_at > wall + CLOCK_SKEW_S:
            raise _refusal(errors.Code.OPERATION_INVALID, "the key's timestamp is in the future")
        return created_at + self.lifetime_s

    def find(self, account: str, key: str) -> Operation | None:
        """Return the record of a key in this instance's memory, or None."""
        return self.table.get(_table_key(account, key))

    def begin(
        self, account: str, key: str, *, digest: str, request_id: str, expires_at: float
    ) -> Operation:
        """Record the first request with a key and return the new operation.

        Raises:
            errors.GatewayError: ``overloaded`` if ``MAX_OPERATIONS`` keys are recorded.
        """
        if len(self.table) >= MAX_OPERATIONS:
            raise _refusal(errors.Code.OVERLOADED, "the table of idempotency keys is full")
        operation = Operation(
            table_key=_table_key(account, key),
            digest=digest,
            request_id=request_id,
            expires_at=expires_at,
        )
        self.table[operation.table_key] = operation
        return operation

    def begin_claim(self, operation: Operation, now: float) -> None:
        """Queue the claim of a key; the request is resumed with the result or after a time-out."""
        claim_id = f"{self.instance}/{self.new_id()}"
        operation.claim = claims.Claim(
            claim_id=claim_id, instance=self.instance, digest=operation.digest
        )
        self.claim_deadlines[operation.request_id] = now + CLAIM_TIMEOUT_S
        self.pending_claims.append(operation)

    def record_not_run(self, operation: Operation) -> None:
        """Drop a key whose request certainly did not run, and delete its claim."""
        self._remove(operation)
        self.claim_deadlines.pop(operation.request_id, None)
        if operation.claim is not None and operation.claim.revision:
            key = _store_key(operation)
            commit = store.Commit(
                conditions=[store.Condition(key, operation.claim.revision)],
                changes=[store.Delete(key)],
            )
            self.pending_settlements.append(commit)

    def record_unsettled(self, operation: Operation) -> None:
        """Record that a key's request may have run, so that it never runs again."""
        operation.state = claims.State.UNSETTLED
        self._queue_state_write(operation)

    def record_done(self, operation: Operation, answer: answers.RecordedAnswer | None) -> None:
        """Record that a key's request ran, and keep its answer if the whole body was recorded."""
        operation.state = claims.State.DONE
        if answer is not None and answer.has_body:
            operation.answer = answer
            self.kept_answer_bytes += len(answer.body)
        self._queue_state_write(operation)
        self._evict_answers()

    def tick(self, now: float, wall: float) -> None:
        """Refuse requests whose claims timed out, drop expired keys and send what is pending."""
        for request_id in [r for r, deadline in self.claim_deadlines.items() if now >= deadline]:
            del self.claim_deadlines[request_id]
            self._deny_request(request_id, errors.Code.CLAIM_UNAVAILABLE)
        for operation in [
            operation for operation in self.table.values() if wall >= operation.expires_at
        ]:
            if operation.state is not claims.State.RUNNING:
                self._remove(operation)
        self.flush(wall)

    def flush(self, wall: float) -> None:
        """Send the pending calls to the store, at most one of each kind at a time."""
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
            call = store.CommitMany(commits, reads_back=True)
            self.outbox.append(commands.StoreCall(call, ClaimBatch(batch)))
        if self.pending_settlements and not self.settlement_call_pending:
            batch, self.pending_settlements = _split_batch(self.pending_settlements)
            self.settlement_call_pending = True
            call = store.CommitMany(batch)
            self.outbox.append(commands.StoreCall(call, SettlementBatch(batch)))

    def on_store(
        self, purpose: typing.Any, reply: store.Reply, sent_at: float, now: float, wall: float
    ) -> None:
        """Process the store's reply to a call of this controller, then send what is pending."""
        _on_store(purpose, self, reply, wall)
        self.flush(wall)

    def _sign(self, text: str) -> str:
        """Return the signature of a minted key's text: a truncated HMAC-SHA256."""
        mac = hmac.new(self.secret, text.encode(), hashlib.sha256)
        return mac.hexdigest()[:SIGNATURE_CHARACTERS]

    def _queue_state_write(self, operation: Operation) -> None:
        """Queue a write of a claimed key's state and answer, for the other instances."""
        if operation.claim is None:
            return
        operation.claim.state = operation.state
        operation.claim.answer = operation.answer
        key = _store_key(operation)
        commit = store.Commit(
            conditions=[store.Condition(key, operation.claim.revision)],
            changes=[store.Put(key, operation.claim.to_bytes(), lease=self.lease)],
        )
        self.pending_settlements.append(commit)

    def _remove(self, operation: Operation) -> None:
        """Remove an operation from the table, unless a newer one has replaced it."""
        if self.table.get(operation.table_key) is operation:
            del self.table[operation.table_key]
            self.kept_answer_bytes -= (
                len(operation.answer.body) if operation.answer is not None else 0
            )

    def _evict_answers(self) -> None:
        """Drop the oldest answers beyond ``MAX_KEPT_ANSWER_BYTES``; their keys stay recorded."""
        if self.kept_answer_bytes <= MAX_KEPT_ANSWER_BYTES:
            return
        for operation in self.table.values():
            if operation.answer is not None:
                self.kept_answer_bytes -= len(operation.answer.body)
                operation.answer = None
            if self.kept_answer_bytes <= MAX_KEPT_ANSWER_BYTES:
                return

    def _deny_request(self, request_id: str, code: errors.Code) -> None:
        """Resume a request that waits for its claim with an error."""
        error = errors.GatewayError(code, step=STEP, peer="store", retry_after=RETRY_AFTER_S)
        self.outbox.append(commands.WakeRequest(request_id, commands.WaitDenied(error)))

    def _apply_claim_result(self, operation: Operation, reply: store.CommitReply) -> None:
        """Resume a request once its claim is stored, or with the claim that holds the key."""
        still_waiting = self.claim_deadlines.pop(operation.request_id, None) is not None
        stored_claim = claims.from_item(reply.items[0]) if reply.items else None
        is_own_claim = reply.applied or (
            stored_claim is not None and stored_claim.claim_id == operation.claim.claim_id
        )
        if is_own_claim:
            operation.claim.revision = reply.revision if reply.applied else stored_claim.revision
            if not still_waiting:
                self.record_not_run(operation)
                return
            operation.state = claims.State.RUNNING
            log_event = commands.LogEvent(
                events.Event.OPERATION_CLAIMED, request=operation.request_id
            )
            self.outbox.append(log_event)
            self.outbox.append(commands.WakeRequest(operation.request_id, commands.WaitGranted()))
            return
        self._remove(operation)
        if still_waiting:
            self.outbox.append(commands.WakeRequest(operation.request_id, stored_claim))


@functools.singledispatch
def _on_store(purpose: typing.Any, operations: Operations, reply: store.Reply, wall: float) -> None:
    raise TypeError(type(purpose))


@_on_store.register
def _(purpose: ClaimLeaseGrant, operations: Operations, reply: store.Reply, wall: float) -> None:
    operations.lease_call_pending = False
    if type(reply) is store.LeaseReply and reply.lease:
        operations.lease = reply.lease
        operations.lease_renew_at = wall + LEASE_PERIOD_S


@_on_store.register
def _(purpose: ClaimBatch, operations: Operations, reply: store.Reply, wall: float) -> None:
    operations.claim_call_pending = False
    if type(reply) is not store.CommitManyReply:
        # A claim whose reply was lost is sent again; its id shows whether the first one was stored.
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
    if type(reply) is store.CallFailed:
        operations.pending_settlements = purpose.commits + operations.pending_settlements
        del operations.pending_settlements[MAX_OPERATIONS:]


def _split_batch(items: list) -> tuple[list, list]:
    """Return the items of the next call, at most ``MAX_COMMITS_PER_CALL``, and the others."""
    return items[:MAX_COMMITS_PER_CALL], items[MAX_COMMITS_PER_CALL:]


def _claim_commit(operation: Operation, lease: int) -> store.Commit:
    """Return the commit that stores an operation's claim if its key has none yet."""
    key = _store_key(operation)
    return store.Commit(
        conditions=[store.Condition(key, 0)],
        changes=[store.Put(key, operation.claim.to_bytes(), lease=lease)],
    )


def _store_key(operation: Operation) -> str:
    return PREFIX + hashlib.sha256(operation.table_key.encode()).hexdigest()


def _table_key(account: str, key: str) -> str:
    return f"{account}\0{key}"


def _refusal(code: errors.Code, detail: str) -> errors.GatewayError:
    return errors.GatewayError(code, step=STEP, detail=detail)
