"""What an instance knows of the software versions of one service, and the next change of them."""

from __future__ import annotations

import math

from yuccahitch.resources import version_record

ANNOUNCED = version_record.VersionState.ANNOUNCED
SERVING = version_record.VersionState.SERVING
RETIRED = version_record.VersionState.RETIRED
# Time without entries after which a version is retired, in seconds.
RETIRE_AFTER_S = 10.0
# Time for which a retired version stays in the record: the longest time that a stream lasts from
# its begin to its last take-up, in seconds.
RETENTION_S = 120.0
# Order in which the states of what is known and of what a restored store holds are merged.
_RANKS = {ANNOUNCED: 0, RETIRED: 1, SERVING: 2}


class ServiceVersions:
    """The versions of one service as this instance knows them.

    Attributes:
        record: The record in the store, or None if there is none that can be read.
        revision: Revision of the record; 0 if there is none.
        states: State of each version. Once the store was restored, they join what was known before
            and what the record holds, until somebody vouches for the record.
        since: Since when the record is known to have had each version in its state all the time,
            in monotonic seconds.
        absent_at: Latest moment at which the record surely lacked each version that is announced,
            in monotonic seconds.
        named_at: When an entry named each version last, in monotonic seconds.
        begun_at: When this instance last let streams begin at each version by old knowledge, in
            monotonic seconds.
        unvouched_since: Since when nobody has vouched for the record, in monotonic seconds;
            infinity while somebody does.
        wanted: The record that this instance waits to write, or None.
        due_at: When it writes that, in monotonic seconds.
        writing: Whether a write is under way.
    """

    __slots__ = (
        "record",
        "revision",
        "states",
        "since",
        "absent_at",
        "named_at",
        "begun_at",
        "unvouched_since",
        "wanted",
        "due_at",
        "writing",
    )

    def __init__(self) -> None:
        self.record: version_record.VersionRecord | None = None
        self.revision = 0
        self.states: dict[str, version_record.VersionState] = {}
        self.since: dict[str, float] = {}
        self.absent_at: dict[str, float] = {}
        self.named_at: dict[str, float] = {}
        self.begun_at: dict[str, float] = {}
        self.unvouched_since = math.inf
        self.wanted: version_record.VersionRecord | None = None
        self.due_at = math.inf
        self.writing = False

    def forget_record(self) -> None:
        """Forget what the store holds, but not which versions may have begun open streams."""
        self.record = None
        self.revision = 0
        self.since = {}
        self.absent_at = {}

    def is_vouched(self, era: int | None) -> bool:
        """Return whether the record surely has all versions with open streams."""
        return self.record is not None and self.record.era == era

    def adopt(
        self,
        record: version_record.VersionRecord,
        revision: int,
        now: float,
        *,
        era: int | None,
        known_at: float,
    ) -> None:
        """Take over a record of the store.

        Args:
            record: The record.
            revision: Its revision.
            now: Monotonic seconds.
            era: Era of the store.
            known_at: When the store surely had the record known before, in monotonic seconds.
        """
        was_vouched = self.is_vouched(era)
        former = self.record.states if self.record is not None else {}
        self.absent_at = {
            version: self.absent_at.get(version, -math.inf) if version in former else known_at
            for version, state in record.states.items()
            if state is ANNOUNCED and was_vouched
        }
        self.since = {
            version: self.since.get(version, now) if former.get(version) is state else now
            for version, state in record.states.items()
        }
        self.record = record
        self.revision = revision
        if self.is_vouched(era):
            self.states = dict(record.states)
            self.unvouched_since = math.inf
        else:
            self.states = _join(self.states, record.states)
            self.unvouched_since = min(self.unvouched_since, now)

    def possible_origins(self, now: float, *, max_age_s: float) -> set[str]:
        """Return the versions that may have begun open streams.

        A version is announced for longer than ``max_age_s`` before it serves, so none has begun at
        one that the record lacked no longer ago than that.
        """
        return self.unrecorded(now) | {
            version
            for version, state in self.states.items()
            if state is not ANNOUNCED or now - self.absent_at.get(version, -math.inf) > max_age_s
        }

    def serves_in_s(self, now: float, *, hold_s: float) -> float | None:
        """Return the time until a version that is announced may serve, or None without one.

        Args:
            now: Monotonic seconds.
            hold_s: Time for which a version stays announced, in seconds.
        """
        known = [self.states] if self.wanted is None else [self.states, self.wanted.states]
        announced = {
            version for states in known for version, state in states.items() if state is ANNOUNCED
        }
        waits_s = [max(0.0, self.since.get(v, now) + hold_s - now) for v in announced]
        return min(waits_s, default=None)

    def unrecorded(self, now: float) -> set[str]:
        """Return the versions that the record lacks, or has as new, although streams began here."""
        return {
            version
            for version, begun_at in self.begun_at.items()
            if self.states.get(version, ANNOUNCED) is ANNOUNCED and now - begun_at < RETENTION_S
        }

    def observe_entries(self, named: set[str], now: float, *, fresh: bool) -> None:
        """Record when entries named each version; old knowledge does not show one missing."""
        for version in named | set(self.states):
            if version in named or not fresh or version not in self.named_at:
                self.named_at[version] = now
        for version in set(self.named_at) - set(self.states) - named:
            del self.named_at[version]

    def next_states(
        self, offered: set[str], now: float, *, fresh: bool, hold_s: float
    ) -> dict[str, version_record.VersionState]:
        """Return the states that the versions should have now.

        Args:
            offered: Versions with an upstream that may get new work.
            now: Monotonic seconds.
            fresh: Whether the knowledge of the store is fresh.
            hold_s: Time for which a version stays announced, in seconds.
        """
        states = self.states | dict.fromkeys(self.unrecorded(now), RETIRED)
        for version in offered:
            states.setdefault(version, ANNOUNCED)
        unchanged = [(v, state) for v, state in self.states.items() if states[v] is state]
        for version, state in unchanged:
            known_s = now - self.since.get(version, now)
            unnamed_s = now - self.named_at.get(version, now)
            is_recorded = self.record is not None and self.record.states.get(version) is state
            is_due = is_recorded and known_s >= hold_s and version in offered
            if is_due and (state is RETIRED or (state is ANNOUNCED and fresh)):
                states[version] = SERVING
            # The only version stays: nothing can be mistaken for it, and it costs no write.
            if len(states) > 1 and unnamed_s >= RETIRE_AFTER_S:
                if state is SERVING:
                    states[version] = RETIRED
                elif state is ANNOUNCED and is_recorded:
                    del states[version]
                elif state is RETIRED and is_recorded and known_s >= RETENTION_S:
                    del states[version]
        return states


def _join(
    known: dict[str, version_record.VersionState], copied: dict[str, version_record.VersionState]
) -> dict[str, version_record.VersionState]:
    """Return the versions of both, each in the state in which more may have happened."""
    return {
        version: max(
            (states[version] for states in (known, copied) if version in states),
            key=_RANKS.__getitem__,
        )
        for version in {**known, **copied}
    }
