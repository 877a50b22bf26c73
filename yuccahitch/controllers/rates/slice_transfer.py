"""Moves of parts of a rate from their holder to other instances."""

from __future__ import annotations

from yuccahitch import records
from yuccahitch.controllers.rates import slice_record


class Transfer(records.Record):
    """A move of own parts to peers, by instance id; neither side uses them until it is decided."""

    __slots__ = ("record", "new_parts")

    def __init__(self, record: slice_record.Record, new_parts: dict[str, int]) -> None:
        self.record = record
        self.new_parts = new_parts

    def next_record(self, giver: str, *, write_id: str) -> slice_record.Record:
        """Return the record that makes the move, given by an instance."""
        holders = dict(self.record.holders)
        holders[giver] = holders.get(giver, 0) - sum(self.new_parts.values())
        for name, parts in self.new_parts.items():
            holders[name] = holders.get(name, 0) + parts
        return slice_record.Record(
            account=self.record.account,
            holders={name: parts for name, parts in holders.items() if parts > 0},
            write_id=write_id,
            revision=self.record.revision,
        )


class TransferWrite(records.Record):
    """Purpose of the commit of a transfer, with the record that it writes."""

    __slots__ = ("transfer", "record")

    def __init__(self, transfer: Transfer, record: slice_record.Record) -> None:
        self.transfer = transfer
        self.record = record


class TransferReadBack(records.Record):
    """Purpose of the read that finds out whether a transfer whose reply was lost was written."""

    __slots__ = ("transfer", "record")

    def __init__(self, transfer: Transfer, record: slice_record.Record) -> None:
        self.transfer = transfer
        self.record = record
