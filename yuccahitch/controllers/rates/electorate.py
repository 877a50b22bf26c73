"""The instances that vouch for one of them while it can't reach the store."""

from __future__ import annotations

import json
import math
import typing

from yuccahitch import records
from yuccahitch.messages import commands, store

# Prefix of the store's keys; the instance id follows.
PREFIX = "pins/"


class ElectorateWrite(records.Record):
    """Purpose of the commit that writes a changed electorate."""

    __slots__ = ("electorate",)

    def __init__(self, electorate: tuple[str, ...]) -> None:
        self.electorate = electorate


class Electorate:
    """The electorate of one instance, as the store holds it and as it is to be.

    Args:
        instance: Id of the instance.

    Attributes:
        members: Instance ids of the electorate that the store holds.
        wanted: Instance ids that are to form it.
        wanted_since: When ``wanted`` last changed, in monotonic seconds.
        pending: An electorate whose write is not confirmed, or None.
        revision: The store's revision of its key.
        write_pending: Whether a write waits for its reply.
        retry_at: Earliest time of the next write after a failed one, in monotonic seconds.
    """

    __slots__ = (
        "instance",
        "members",
        "wanted",
        "wanted_since",
        "pending",
        "revision",
        "write_pending",
        "retry_at",
    )

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.members: tuple[str, ...] = ()
        self.wanted: tuple[str, ...] = (instance,)
        self.wanted_since = -math.inf
        self.pending: tuple[str, ...] | None = None
        self.revision = 0
        self.write_pending = False
        self.retry_at = 0.0

    @property
    def key(self) -> str:
        """Return the store's key of the electorate."""
        return PREFIX + self.instance

    def set_wanted(self, names: typing.Iterable[str], now: float) -> None:
        """Set the instances that are to form the electorate, to which its own one is added."""
        wanted = tuple(sorted({self.instance, *names}))
        if wanted != self.wanted:
            self.wanted = wanted
            self.wanted_since = now

    def is_write_due(self, now: float, *, settle_s: float) -> bool:
        """Return whether an electorate is to be written: a changed one, or an unconfirmed one.

        Args:
            now: Monotonic seconds.
            settle_s: Time for which a changed one must stay the same, in seconds.
        """
        settled = now - self.wanted_since >= settle_s
        changed = self.pending is not None or (settled and self.wanted != self.members)
        return changed and not self.write_pending and now >= self.retry_at

    def write(self) -> commands.StoreCall:
        """Return the call that writes the electorate, which is pending from now on."""
        self.pending = self.pending or self.wanted
        self.write_pending = True
        commit = store.Commit(
            conditions=[self.condition()], changes=[store.Put(self.key, to_bytes(self.pending))]
        )
        return commands.StoreCall(commit, ElectorateWrite(self.pending))

    def condition(self) -> store.Condition:
        """Return the condition that the store holds what is known of it."""
        return store.Condition(self.key, self.revision)

    def confirm(self, members: tuple[str, ...], revision: int) -> None:
        """Record what the store holds; nothing is pending any more."""
        self.pending = None
        self.members = members
        self.revision = revision

    def on_write_reply(self, written: tuple[str, ...], reply: store.Reply, retry_at: float) -> None:
        """Process the reply to a write.

        Args:
            written: The electorate that was to be written.
            reply: The reply.
            retry_at: Earliest time of the next write if this one failed, in monotonic seconds.
        """
        self.write_pending = False
        if type(reply) is not store.CommitReply:
            self.retry_at = retry_at
            return
        self.pending = None
        if reply.applied:
            self.confirm(written, reply.revision)
        for item in () if reply.applied else reply.items:
            self.confirm(from_bytes(item.value), item.revision)


def attests_needed(electorate: int) -> int:
    """Return how many others of an electorate must attest before an instance loses its slices.

    Args:
        electorate: Number of members of the electorate, the instance included.
    """
    return math.ceil(electorate / 2)


def vouches_needed(electorate: int) -> int:
    """Return how many of an electorate must vouch before an instance may spend while cut off.

    The instance's own vouch counts. Any group of that many members and any group of
    ``attests_needed`` members have a member in common.
    """
    return electorate - attests_needed(electorate) + 1


def to_bytes(electorate: tuple[str, ...]) -> bytes:
    """Encode an electorate for the store."""
    return json.dumps({"electorate": list(electorate)}).encode()


def from_bytes(data: bytes) -> tuple[str, ...]:
    """Decode an electorate from the store."""
    return tuple(json.loads(data)["electorate"])
