"""Checks of a run of ``version_simulation`` by what its callers hold.

Run many seeds by hand: ``python -m tests.version_checks PLAN FIRST COUNT``.
"""

from __future__ import annotations

import sys

from tests import version_faults, version_simulation
from yuccahitch import errors

# Time without trouble after which an instance or the store counts as in touch, in seconds.
CONTACT_S = 5.0
# Number of streams taken up from which their share that goes on is checked.
MIN_TAKEN_UP = 12
# Smallest share of these that go on, as a part of that of new streams that begin.
MIN_SHARE = 0.5
# Time within which a request that is refused is told so, in seconds.
REFUSAL_LIMIT_S = 1.0
SERVING_UPSTREAMS = 2


class Outcome:
    """What a run showed.

    Attributes:
        seed: Its seed.
        notes: What was done to the site, with times.
        logged: Names of the events that the instances logged.
        stream_count: Number of streams.
        take_up_count: Number of requests that took a stream up.
        mixed: Streams with events of two versions or services.
        disordered: Streams with a gap, or with an event twice.
        late: Take-ups that were refused late.
        untrue: Requests that were refused as not run, but ran.
        shares: Share of the streams taken up that went on and their number, and share of the new
            ones that began and their number; counted at instances in touch.
    """

    __slots__ = (
        "seed",
        "notes",
        "logged",
        "stream_count",
        "take_up_count",
        "mixed",
        "disordered",
        "late",
        "untrue",
        "shares",
    )

    def __init__(self, seed, site, census):
        runs = [run for stream in site.streams for run in stream.tries]
        refused = [run for run in runs if run.error is not None and not run.has_head]
        self.seed = seed
        self.notes = site.notes
        self.logged = set(site.logged)
        self.stream_count = len(site.streams)
        self.take_up_count = sum(run.resumes for run in runs)
        self.mixed = [stream for stream in site.streams if len(stream.origins()) > 1]
        self.disordered = [stream for stream in site.streams if not stream.is_in_order()]
        self.late = [
            run
            for run in refused
            if run.resumes and not run.ran and run.ended_at - run.began_at > REFUSAL_LIMIT_S
            if not census.was_paused(run)
        ]
        self.untrue = [
            run for run in refused if run.ran and run.error.run is errors.RunStatus.NOT_RUN
        ]
        self.shares = census.shares()

    def findings(self):
        """Return what broke the rules, one text each."""
        return self.joined() + self.lost()

    def joined(self):
        """Return the streams that don't hold the events of one run or of its continuations."""
        found = [f"two origins: {describe(stream)}" for stream in self.mixed]
        return found + [f"out of order: {describe(stream)}" for stream in self.disordered]

    def lost(self):
        """Return what was refused late or untruly, and too small a share of take-ups."""
        found = [f"refused late: {run.id} {run.error}" for run in self.late]
        found += [f"ran, but refused as not run: {run.id} {run.error}" for run in self.untrue]
        went_on, taken_up, began, _ = self.shares
        if taken_up >= MIN_TAKEN_UP and went_on < MIN_SHARE * began:
            found.append(f"take-ups lost: {self.shares}")
        return found


class Census:
    """Counts the streams that are taken up and that begin at instances in touch.

    Attributes:
        site: The site.
        counted: The requests that count, with whether each takes a stream up.
        paused: Ids of the requests whose instance stood still meanwhile.
    """

    __slots__ = ("site", "counted", "paused")

    def __init__(self, site):
        self.site = site
        self.counted = []
        self.paused = set()

    def observe(self):
        """Look at the requests that have begun since the last look."""
        site = self.site
        for name in site.edges:
            if site.is_paused(name):
                self.paused |= site.runs[name].keys()
        for stream in site.streams[-200:]:
            for run in stream.tries[-1:]:
                if run not in self.counted and self._counts(run):
                    self.counted.append(run)

    def _counts(self, run):
        """Return whether a request is at an instance in touch, and its versions serve."""
        site, now = self.site, self.site.clock.now
        troubles = [site.touched_at.get(name, 0.0) for name in (run.instance, version_faults.STORE)]
        if site.store.is_away or max(troubles) + CONTACT_S > now or run.began_at + 0.2 < now:
            return False
        origins = run.stream.origins()
        if not run.resumes:
            return True
        return len(origins) == 1 and self._serving_count(*origins) >= SERVING_UPSTREAMS

    def _serving_count(self, origin):
        """Return the number of upstreams of an origin that have served for some time."""
        site = self.site
        return sum(
            (item.service, item.version) == origin
            and item.is_up
            and item.is_listed
            and item.serves_since + CONTACT_S < site.clock.now
            for item in site.upstreams.values()
        )

    def was_paused(self, run):
        """Return whether the instance of a request stood still while it was there."""
        return run.id in self.paused

    def shares(self):
        """Return the shares and numbers of ``Outcome.shares``."""
        taken_up, new = {}, {}
        for run in self.counted:
            by_stream = taken_up if run.resumes else new
            by_stream[run.stream] = by_stream.get(run.stream, False) or run.went_on
        return share(taken_up), len(taken_up), share(new), len(new)


def share(went_on_by_stream):
    """Return the share of the streams that went on, or 0 without any."""
    return sum(went_on_by_stream.values()) / max(1, len(went_on_by_stream))


def describe(stream):
    """Return the tries of a stream with the events that it holds."""
    start = version_simulation.START
    events = [f"{e.number} {e.upstream.name} {e.at - start:.2f}" for e in stream.events]
    tries = [f"{run.id} at {run.instance} {run.began_at - start:.2f}" for run in stream.tries]
    return f"{stream.path} {tries} {events}"


def play(plan, seed):
    """Play a seed of a plan of ``version_faults``, and return its outcome."""
    site = version_simulation.Site(seed)
    census = Census(site)

    def observe():
        census.observe()
        site.clock.schedule_after(0.1, observe)

    site.clock.schedule_after(0.1, observe)
    site.run(version_faults.PLANS[plan])
    return Outcome(seed, site, census)


def print_findings(plan, seed):
    """Play a seed of a plan, print what was found, and return whether something was."""
    outcome = play(plan, seed)
    found = outcome.findings()
    counts = f"{outcome.stream_count} streams, {outcome.take_up_count} take-ups"
    print(f"seed {seed}: {counts}, {outcome.shares}, {len(found)} findings", flush=True)
    for text in found[:3]:
        print(f"  {text}")
    if found:
        print("  " + "; ".join(outcome.notes))
    return bool(found)


def main(arguments):
    """Play some seeds and print what was found."""
    plan, first, count = arguments[0], int(arguments[1]), int(arguments[2])
    found = [seed for seed in range(first, first + count) if print_findings(plan, seed)]
    print(f"{plan}: {count} seeds from {first}: findings at {len(found)}: {found}")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
