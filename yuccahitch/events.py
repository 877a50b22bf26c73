"""Numbered log events, written by eliot with a hybrid logical clock.

The stamps order the events of all processes: they follow the wall clock and are never behind a
stamp received with a peer's message.
"""

from __future__ import annotations

import enum
import typing

import eliot

STAMP_STEP_US = 1  # least distance between two stamps of one process


class Event(enum.Enum):
    """All log events, each with its number, name and meaning."""

    STARTED = (100, "started", "The instance is listening for connections.")
    READY = (101, "ready", "The instance has a configuration and serves requests.")
    DRAIN_BEGAN = (102, "drain-began", "A graceful shutdown began.")
    RELOADED = (104, "reloaded", "The settings file was read again.")
    STOPPED = (103, "stopped", "The process is stopping; all open requests are finished.")
    REQUEST_BEGAN = (200, "request-began", "A request arrived from a caller or a peer.")
    REQUEST_DISPATCHED = (201, "request-dispatched", "A request was sent to an upstream.")
    REQUEST_FORWARDED = (202, "request-forwarded", "A request was sent to another region.")
    REQUEST_ENDED = (203, "request-ended", "A request ended; its complete answer was sent.")
    REQUEST_REFUSED = (204, "request-refused", "A request was refused.")
    REQUEST_CUT = (205, "request-cut", "An answer ended before it was complete.")
    REQUEST_ABANDONED = (206, "request-abandoned", "The caller closed its connection.")
    REQUEST_RETRIED = (207, "request-retried", "A request is sent to another upstream.")
    REQUEST_RESUMED = (209, "request-resumed", "A stream is resumed at another upstream.")
    REQUEST_EXPIRED = (
        210,
        "request-expired",
        "A request was not answered in time and is given up.",
    )
    ANSWER_DROPPED = (
        208,
        "answer-dropped",
        "A late answer, one to another request, or bytes that are no part of one were dropped.",
    )
    ATTEMPT_CLOSED = (
        211,
        "attempt-closed",
        "The connection of an attempt was closed before the end of its answer.",
    )
    ATTEMPT_REFUSED = (
        214,
        "attempt-refused",
        "An upstream refused an attempt; it says that it did not run the request.",
    )
    CALLER_CLOSED = (
        220,
        "caller-closed",
        "A caller's connection was closed to bound what is held for callers.",
    )
    LEASE_LAPSED = (
        212,
        "lease-lapsed",
        "A run was ended, as the instance that forwarded its request doesn't renew its lease.",
    )
    RUN_END_AWAITED = (
        213,
        "run-end-awaited",
        "A request whose connection to another instance broke waits until its run there has ended.",
    )
    STREAM_BEGAN = (
        217,
        "stream-began",
        "A stream began or went on while several software versions may have begun open ones.",
    )
    ORIGIN_FOUND = (
        215,
        "origin-found",
        "A caller takes a stream up, and the software version that began it is known.",
    )
    ORIGIN_MISSED = (
        216,
        "origin-missed",
        "A caller takes a stream up that can't go on where it began.",
    )
    UPSTREAM_EJECTED = (
        300,
        "upstream-ejected",
        "An upstream failed; it gets no requests for a while.",
    )
    UPSTREAM_RETURNED = (301, "upstream-returned", "An ejected upstream gets requests again.")
    UPSTREAM_LEAVING = (302, "upstream-leaving", "An upstream gets no new requests.")
    UPSTREAM_FOUND = (304, "upstream-found", "An upstream registered in the store.")
    UPSTREAM_MISSING = (
        306,
        "upstream-missing",
        "An upstream's entry left the store; it is still used for a while.",
    )
    UPSTREAM_GONE = (307, "upstream-gone", "An upstream whose entry stayed missing was removed.")
    UPSTREAM_COLD = (308, "upstream-cold", "An upstream is cold; its request rate is limited.")
    ENTRY_UNREADABLE = (
        305,
        "entry-unreadable",
        "An entry of the store can't be read; it is ignored.",
    )
    POISON_FOUND = (
        303,
        "poison-found",
        "A request or a part of prompts crashed several upstreams; it is refused.",
    )
    POISON_CLEARED = (
        310,
        "poison-cleared",
        "What was refused as crashing upstreams was answered; it is accepted again.",
    )
    REQUEST_SUSPECTED = (
        309,
        "request-suspected",
        "An upstream crashed while it worked on a request.",
    )
    UPSTREAM_LIMITED = (
        311,
        "upstream-limited",
        "An upstream names the request rate that it takes from all instances together.",
    )
    UPSTREAM_UNLIMITED = (312, "upstream-unlimited", "An upstream names no request rate any more.")
    UPSTREAM_PAUSED = (
        313,
        "upstream-paused",
        "An upstream turned a request away and wants none of this instance for some time.",
    )
    NOTICE_UNREADABLE = (
        314,
        "notice-unreadable",
        "An answer says something of its upstream that can't be read; logged once for each start.",
    )
    UPSTREAM_REPLACED = (
        315,
        "upstream-replaced",
        "An upstream has started again; until its new entry is known, it gets no streams that "
        "depend on its software version.",
    )
    ADMISSION_CHANGED = (
        316,
        "admission-changed",
        "Another priority of a service is admitted in part, or everything is again.",
    )
    UPSTREAM_MEMORY = (
        317,
        "upstream-memory",
        "An upstream reported the size of its memory; it gets no requests that don't fit in.",
    )
    CONFIG_APPLIED = (400, "config-applied", "Newer resources were applied.")
    CONFIG_STALE = (401, "config-stale", "Older resources were ignored.")
    CONFIG_UNREADABLE = (
        406,
        "config-unreadable",
        "A configuration can't be read; the last one stays.",
    )
    ZONE_EVACUATED = (407, "zone-evacuated", "The upstreams of a zone get no requests.")
    ZONE_TAKEN_BACK = (408, "zone-taken-back", "The upstreams of a zone get requests again.")
    CONFIG_REPAIRED = (402, "config-repaired", "The store had an older resource; it was rewritten.")
    WATCH_BROKEN = (403, "watch-broken", "A watch on the store broke and is restarted.")
    STORE_LOST = (404, "store-lost", "The store does not answer.")
    STORE_FOUND = (405, "store-found", "The store answers again.")
    STORE_WATCHED = (409, "store-watched", "The instance watches the store itself.")
    STORE_RELAYED = (
        410,
        "store-relayed",
        "The instance gets the store's changes from others of its zone.",
    )
    REPORT_MISSED = (
        411,
        "report-missed",
        "Changes of the store were not passed on; they are read again.",
    )
    STORE_READ = (412, "store-read", "The whole store was read.")
    STORE_RESTORED = (
        413,
        "store-restored",
        "The store came back from an older copy; it is read again.",
    )
    VERSIONS_CHANGED = (
        414,
        "versions-changed",
        "The software versions changed that may have begun open streams of a service.",
    )
    VERSIONS_NOT_WRITTEN = (
        415,
        "versions-not-written",
        "A change of the software versions of a service could not be written.",
    )
    STREAMS_RECORDED = (
        416,
        "streams-recorded",
        "Streams were recorded in the store with the software version that began them.",
    )
    STREAMS_NOT_RECORDED = (
        417,
        "streams-not-recorded",
        "Streams could not be recorded in the store; they are recorded again.",
    )
    MEMBER_JOINED = (500, "member-joined", "An instance was discovered.")
    MEMBER_LOST = (
        501,
        "member-lost",
        "An instance was not heard from within its time-out; it is unreachable.",
    )
    MEMBER_LEFT = (502, "member-left", "An instance shut down gracefully.")
    MEMBER_FOUND = (505, "member-found", "An unreachable instance was heard from again.")
    PEER_GARBAGE = (503, "peer-garbage", "A peer sent a message that can't be read.")
    PULSE_FAILED = (
        504,
        "pulse-failed",
        "A state report (pulse) to another instance could not be sent.",
    )
    LEASE_NOT_RENEWED = (
        506,
        "lease-not-renewed",
        "A renewal of the lease under which another instance runs requests failed.",
    )
    SLICE_CLAIMED = (600, "slice-claimed", "A slice of a client account's rate was claimed.")
    SLICE_MOVED = (
        601,
        "slice-moved",
        "Parts of a client account's rate were moved between instances.",
    )
    SLICE_RECLAIMED = (602, "slice-reclaimed", "A dead instance's slice of a rate was taken over.")
    LOAN_GRANTED = (603, "loan-granted", "Tokens were lent to a peer.")
    LOAN_TAKEN = (604, "loan-taken", "Tokens were borrowed from a peer.")
    SHARE_CHANGED = (
        605,
        "share-changed",
        "This instance's share of a client account's rate changed.",
    )
    OPERATION_CLAIMED = (700, "operation-claimed", "An idempotency key was claimed.")
    OPERATION_REPLAYED = (
        701,
        "operation-replayed",
        "A repeated idempotency key got the stored answer.",
    )
    ORDER_SENT = (800, "order-sent", "An order was sent to an engine.")
    LOG_DROPPED = (105, "log-dropped", "Log lines were dropped; they are counted by event.")
    FAULT = (900, "fault", "An unexpected exception was caught.")

    def __init__(self, number: int, label: str, meaning: str) -> None:
        self.number = number
        self.label = label
        self.meaning = meaning


class HybridClock:
    """A hybrid logical clock in microseconds.

    Attributes:
        last_stamp: The newest stamp returned or observed, in microseconds since the Unix epoch.
        wall_time: Returns the time of the wall clock, in seconds since the Unix epoch.
    """

    __slots__ = ("last_stamp", "wall_time")

    def __init__(self, wall_time: typing.Callable[[], float]) -> None:
        self.last_stamp = 0
        self.wall_time = wall_time

    def tick(self) -> int:
        """Return the stamp of a new local event."""
        self.last_stamp = max(self.last_stamp + STAMP_STEP_US, int(self.wall_time() * 1e6))
        return self.last_stamp

    def observe(self, received_stamp: int) -> None:
        """Advance the clock to a stamp received with a message."""
        self.last_stamp = max(self.last_stamp, received_stamp)


class Log:
    """Writes the log events of one process.

    Args:
        instance: Id of the instance, written with every event.
        hybrid_clock: Hybrid logical clock of the process, which stamps the events.

    Attributes:
        series: Number of events written, by metric labels.
    """

    __slots__ = ("instance", "hybrid_clock", "series")

    def __init__(self, instance: str, hybrid_clock: HybridClock) -> None:
        self.instance = instance
        self.hybrid_clock = hybrid_clock
        self.series: dict[tuple[tuple[str, str], ...], int] = {}

    def write(self, event: Event, **fields: typing.Any) -> None:
        """Write one event.

        Args:
            event: The event.
            **fields: Log fields; none may contain a caller's key.
        """
        series_labels = (("event", event.label),)
        self.series[series_labels] = self.series.get(series_labels, 0) + 1
        eliot.log_message(
            message_type=event.label,
            number=event.number,
            instance=self.instance,
            stamp=self.hybrid_clock.tick(),
            **fields,
        )
