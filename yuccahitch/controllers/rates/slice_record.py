"""The record of one client account's slices as the store holds it."""

from __future__ import annotations

import json

from yuccahitch import records
from yuccahitch.messages import store

PREFIX = "slices/"


class Record(records.Record):
    """How many parts of a client account's rate each instance owns.

    Attributes:
        account: Name of the client account.
        holders: Parts that each holder owns, by instance id.
        write_id: Unique id of the write, by which a writer recognizes its own write.
        revision: The store's revision of the record; 0 before it is first written.
        unused: Whether it is the first record of the account: each holder's bucket then begins
            full.
    """

    __slots__ = ("account", "holders", "write_id", "revision", "unused")

    def __init__(
        self,
        *,
        account: str,
        holders: dict[str, int],
        write_id: str,
        revision: int,
        unused: bool = False,
    ) -> None:
        self.account = account
        self.holders = holders
        self.write_id = write_id
        self.revision = revision
        self.unused = unused

    def to_bytes(self) -> bytes:
        """Encode the record's value for the store; account and revision are not part of it."""
        return json.dumps(
            {"holders": self.holders, "write_id": self.write_id, "unused": self.unused}
        ).encode()

    def write_commit(self) -> store.Commit:
        """Return the commit that writes the record if the store holds the revision before it."""
        key = PREFIX + self.account
        return store.Commit(
            conditions=[store.Condition(key, self.revision)],
            changes=[store.Put(key, self.to_bytes())],
        )


def from_item(item: store.KeyValue) -> Record:
    """Decode a record from an item of the store."""
    data = json.loads(item.value)
    return Record(
        account=item.key.removeprefix(PREFIX),
        holders=data["holders"],
        write_id=data["write_id"],
        revision=item.revision,
        unused=data["unused"],
    )
