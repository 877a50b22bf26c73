"""Upstreams in virtual time that name a request rate in their answers."""

from __future__ import annotations

import collections
import math

from tests import crash_simulation, edge_simulation, platform_builders
from yuccahitch.messages import actions
from yuccahitch.platform import requests as platform_requests

# Time after the first answer with a limit from which it is checked, in seconds.
GRACE_S = 5.0
# Window of the check, in seconds, what it tolerates as a share of the limit, and on top of that.
WINDOW_S = 4.0
TOLERATED_SHARE = 1.5
TOLERATED_REQUESTS = 5
# Time after which an instance that got an answer with a limit counts, in seconds.
TOLD_AFTER_S = 0.5
# First parts of prompts.
FIRST_PARTS = tuple(f"first{number}" for number in range(6))


class LimitedSite(crash_simulation.CrashSite):
    """Instances before upstreams that take a limited number of requests a second.

    Attributes:
        limits: The rate that each upstream names at present; without an entry it names none.
        limit_changes: Times and rates of the changes of each upstream's limit, infinite for none.
        told_at: When each instance first got an answer with a limit, by upstream and instance.
        arrivals: Time, upstream and instance of each request that reached an upstream.
        forwards: Times at which requests were forwarded to another region.
        unheard: Ids of instances that get no pulses.
        leaving: Upstreams that say in their answers that they are leaving.
        told_leaving_at: When each instance was first told so, by upstream and instance.
    """

    __slots__ = (
        "limits",
        "limit_changes",
        "told_at",
        "arrivals",
        "forwards",
        "unheard",
        "leaving",
        "told_leaving_at",
    )

    def __init__(self, regions, *, upstreams_per_region=2):
        self.limits = {}
        self.limit_changes = collections.defaultdict(list)
        self.told_at = {}
        self.arrivals = []
        self.forwards = []
        self.unheard = set()
        self.leaving = set()
        self.told_leaving_at = {}
        super().__init__(regions, crashing_parts=(), upstreams_per_region=upstreams_per_region)
        for edge in self.edges.values():
            edge.mark_store_read()

    def set_limit(self, upstream, requests_per_s):
        """Let an upstream name a limit from now on; None means none."""
        self.limits[upstream] = requests_per_s
        rate = math.inf if requests_per_s is None else requests_per_s
        self.limit_changes[upstream].append((self.now, rate))

    def exchange_pulses(self):
        """Deliver pulses, but for those that are lost."""
        for edge in self.edges.values():
            edge.decisions.tick(edge.now)
            for other in self.edges.values():
                if other is not edge and edge.decisions.instance not in self.unheard:
                    edge.receive_pulse_from(other)

    def start(self, attempt, work):
        """Record a request that reaches an upstream."""
        if type(work) is actions.Dispatch:
            self.arrivals.append((self.now, work.upstream, attempt.edge.decisions.instance))
        else:
            self.forwards.append(self.now)
        super().start(attempt, work)

    def begin_answer(self, attempt, upstream):
        """Let an upstream begin its answer, with the limit that it names."""
        if attempt in self.running.get(upstream, ()):
            self.notify(attempt, upstream)
        super().begin_answer(attempt, upstream)

    def notify(self, attempt, upstream):
        """Let an instance read what the head of an answer says of its upstream."""
        rate = self.limits.get(upstream)
        headers = {} if rate is None else {"server-limit": f"{rate:.1f}"}
        edge = attempt.edge
        if rate is not None:
            self.told_at.setdefault((upstream, edge.decisions.instance), self.now)
        if upstream in self.leaving:
            headers["server-leaving"] = "1"
            self.told_leaving_at.setdefault((upstream, edge.decisions.instance), self.now)
        notice = platform_requests.decode_notice(attempt.work, 200, headers)
        edge.decisions.on_upstream_notice(notice, self.now)

    def restart(self, edge):
        """Replace an instance by one that knows nothing."""
        old = self.edges.pop(edge.decisions.instance)
        own = old.decisions.members.own
        new = platform_builders.EdgeUnderTest(
            old.decisions.members.name, region=own.region, now=old.now
        )
        new.publish(platform_builders.a_publication())
        new.mark_store_read()
        for name in self.running:
            region = name.partition("-")[0]
            new.register_upstream(name, service="model", zone=f"{region}-a", capacity=64)
        self.edges[new.decisions.instance] = new
        edge_simulation.discover_all(self.edges.values())
        return new

    def freeze(self, edge, seconds):
        """Let an instance do nothing for some seconds, while the others get requests."""
        others = [other for other in self.edges.values() if other is not edge]
        for _ in range(int(seconds * 60)):
            self.send(self.rng.choice(others), "sound", (FIRST_PARTS[0],))
            self.run(1 / 60)

    def allowed(self, upstream, start):
        """Return the requests that an upstream may get in the window from a time on."""
        changes = [*self.limit_changes[upstream], (math.inf, math.inf)]
        total = 0.0
        for (since, rate), (until, _) in zip(changes, changes[1:], strict=False):
            overlap_s = min(until, start + WINDOW_S) - max(since, start)
            total += rate * overlap_s if overlap_s > 0 else 0.0
        return TOLERATED_SHARE * total + TOLERATED_REQUESTS

    def counted_arrivals(self, upstream):
        """Return the times of an upstream's requests from instances that had been told."""
        return [
            time
            for time, name, instance in self.arrivals
            if name == upstream
            and self.told_at.get((upstream, instance), math.inf) + TOLD_AFTER_S <= time
        ]

    def excesses(self):
        """Return where an upstream got more than it takes: its name, the time, count and bound."""
        found = []
        for upstream, changes in self.limit_changes.items():
            first_at = changes[0][0]
            times = [t for t in self.counted_arrivals(upstream) if t >= first_at + GRACE_S]
            for index, start in enumerate(times):
                count = sum(time < start + WINDOW_S for time in times[index:])
                if count > self.allowed(upstream, start):
                    found.append((upstream, start, count, self.allowed(upstream, start)))
        return found
