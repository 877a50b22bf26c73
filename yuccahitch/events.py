"""Numbered log events, written by eliot with a hybrid logical clock.

The stamp orders the events of all processes: it follows the wall clock and never runs behind a
stamp that came with a peer's message.
"""

from __future__ import annotations

import enum
import typing

import eliot

STAMP_STEP_US = 1


class Event(enum.Enum):
    """The catalogue: number, name and meaning."""

    STARTED = (100, "started", "The instance listens.")
    READY = (101, "ready", "The instance holds a configuration and serves.")
    DRAIN_BEGAN = (102, "drain-began", "A graceful shutdown began.")
    RELOADED = (104, "reloaded", "The settings file was read again.")
    STOPPED = (103, "stopped", "The process ends; open requests are finished.")
    REQUEST_BEGAN = (200, "request-began", "A request arrived from a caller or a peer.")
    REQUEST_DISPATCHED = (201, "request-dispatched", "A request was sent to an upstream.")
    REQUEST_FORWARDED = (202, "request-forwarded", "A request was sent to another region.")
    REQUEST_ENDED = (203, "request-ended", "A request ended; its whole answer was passed on.")
    REQUEST_REFUSED = (204, "request-refused", "A request was refused.")
    REQUEST_CUT = (205, "request-cut", "An answer ended before it was whole.")
    REQUEST_ABANDONED = (206, "request-abandoned", "The caller hung up.")
    REQUEST_RETRIED = (207, "request-retried", "A request is sent to another upstream.")
    REQUEST_RESUMED = (209, "request-resumed", "A stream goes on at another upstream.")
    REQUEST_EXPIRED = (210, "request-expired", "The time of a request is up; it is given up.")
    ANSWER_DROPPED = (208, "answer-dropped", "A late or crossed answer was dropped.")
    UPSTREAM_EJECTED = (300, "upstream-ejected", "An upstream failed and gets no work for a while.")
    UPSTREAM_RETURNED = (301, "upstream-returned", "An ejected upstream gets work again.")
    UPSTREAM_LEAVING = (302, "upstream-leaving", "An upstream gets no new work.")
    UPSTREAM_FOUND = (304, "upstream-found", "An upstream registered itself.")
    UPSTREAM_MISSING = (306, "upstream-missing", "An upstream's entry vanished; used on a while.")
    UPSTREAM_GONE = (307, "upstream-gone", "An upstream whose entry vanished gets no work.")
    UPSTREAM_COLD = (308, "upstream-cold", "An upstream bears few requests for a while.")
    ENTRY_UNREADABLE = (305, "entry-unreadable", "An entry in the store can't be read; unused.")
    POISON_FOUND = (303, "poison-found", "A request crashed several upstreams.")
    CONFIG_APPLIED = (400, "config-applied", "Newer resources are in force.")
    CONFIG_STALE = (401, "config-stale", "Older resources were ignored.")
    CONFIG_UNREADABLE = (406, "config-unreadable", "A configuration can't be read; the last holds.")
    ZONE_EVACUATED = (407, "zone-evacuated", "The upstreams of a zone get no work.")
    ZONE_TAKEN_BACK = (408, "zone-taken-back", "The upstreams of a zone get work again.")
    CONFIG_REPAIRED = (402, "config-repaired", "The store held an older resource; rewritten.")
    WATCH_BROKEN = (403, "watch-broken", "The watch on the store broke and is opened again.")
    STORE_LOST = (404, "store-lost", "The store does not answer.")
    STORE_FOUND = (405, "store-found", "The store answers again.")
    MEMBER_JOINED = (500, "member-joined", "An instance was heard of for the first time.")
    MEMBER_LOST = (501, "member-lost", "An instance has not been heard of for its time-out.")
    MEMBER_LEFT = (502, "member-left", "An instance left gracefully.")
    MEMBER_FOUND = (505, "member-found", "An instance that had fallen silent is heard again.")
    PEER_GARBAGE = (503, "peer-garbage", "A peer sent a message that can't be read.")
    PULSE_FAILED = (504, "pulse-failed", "A pulse to another instance could not be sent.")
    SLICE_CLAIMED = (600, "slice-claimed", "A part of a client account's rate was taken.")
    SLICE_MOVED = (601, "slice-moved", "Parts of a client account's rate were moved.")
    SLICE_RECLAIMED = (602, "slice-reclaimed", "A dead instance's part of a rate was taken over.")
    LOAN_GRANTED = (603, "loan-granted", "Tokens were lent to a peer.")
    LOAN_TAKEN = (604, "loan-taken", "Tokens were borrowed from a peer.")
    SHARE_CHANGED = (605, "share-changed", "This instance's part of a client account's rate moved.")
    OPERATION_CLAIMED = (700, "operation-claimed", "An idempotency key was claimed.")
    OPERATION_REPLAYED = (701, "operation-replayed", "A repeated key got the first answer.")
    ORDER_SENT = (800, "order-sent", "An order was sent to an engine.")
    LOG_DROPPED = (105, "log-dropped", "Log lines were dropped, so many of each event.")
    FAULT = (900, "fault", "An unexpected error was caught.")

    def __init__(self, number: int, label: str, meaning: str) -> None:
        self.number = number
        self.label = label
        self.meaning = meaning


class HybridClock:
    """A hybrid logical clock in microseconds.

    Attributes:
        last_stamp: The last stamp given out, in microseconds since the Unix epoch.
    """

    __slots__ = ("last_stamp", "wall_time")

    def __init__(self, wall_time: typing.Callable[[], float]) -> None:
        self.last_stamp = 0
        self.wall_time = wall_time

    def tick(self) -> int:
        """Return the stamp of a new local event."""
        self.last_stamp = max(self.last_stamp + STAMP_STEP_US, int(self.wall_time() * 1e6))
        return self.last_stamp

    def observe(self, other: int) -> None:
        """Move past a stamp that came with a message."""
        self.last_stamp = max(self.last_stamp, other)


class Log:
    """Writes events of one process.

    Args:
        instance: Name of the instance, in every line.
        hybrid_clock: The process's hybrid logical clock.

    Attributes:
        series: Events written, by name, as the metrics count them.
    """

    __slots__ = ("instance", "hybrid_clock", "series")

    def __init__(self, instance: str, hybrid_clock: HybridClock) -> None:
        self.instance = instance
        self.hybrid_clock = hybrid_clock
        self.series: dict[tuple[tuple[str, str], ...], int] = {}

    def write(self, event: Event, **fields: typing.Any) -> None:
        """Write one event with its fields; no field may hold a key."""
        series_labels = (("event", event.label),)
        self.series[series_labels] = self.series.get(series_labels, 0) + 1
        eliot.log_message(
            message_type=event.label,
            number=event.number,
            instance=self.instance,
            stamp=self.hybrid_clock.tick(),
            **fields,
        )
