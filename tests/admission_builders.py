"""Instances before upstreams that are short of places, with callers of several priorities."""

from __future__ import annotations

import collections
import heapq
import itertools
import random

from tests import builders, edge_simulation, platform_builders
from yuccahitch import errors
from yuccahitch.messages import actions, answers, commands

STEP_S = 0.02
WORK_S = 0.5
# Tries of a caller, and the time after which it returns if it isn't told when.
MAX_TRIES = 3
UNTOLD_RETURN_S = 0.2
# Route prefixes by priority; the last one belongs to a service with a single priority.
PREFIXES = {0: "/urgent/", 2: "/normal/", 5: "/later/"}
SINGLE_PREFIX = "/single/"
# Where a forwarded request goes.
FAR = "far"


def a_ranked_publication(accounts=(), rate_per_s=0, homes=()):
    """Return a configuration with a service of three priorities and one with a single priority."""
    routes = [
        platform_builders.a_published_route(
            f"rank-{priority}",
            prefix,
            kind="safe",
            maxAttempts=2,
            priority=priority,
            homeRegions=list(homes),
        )
        for priority, prefix in PREFIXES.items()
    ]
    single = platform_builders.a_published_route(
        "single", SINGLE_PREFIX, kind="safe", maxAttempts=2, service="lone"
    )
    names = ["rinks", *accounts]
    return platform_builders.a_publication(
        routes=[*routes, single],
        services=[{"name": name, "healthPath": "/health"} for name in ("desk", "lone")],
        tenants=[
            platform_builders.a_published_tenant(
                name, apiKeys=[f"key-of-{name}"], ratePerS=rate_per_s, burst=rate_per_s
            )
            for name in names
        ],
    )


class Caller:
    """A request of a caller, over all its tries."""

    __slots__ = ("prefix", "account", "number", "began_at", "tries")

    def __init__(self, prefix, account, number, began_at):
        self.prefix = prefix
        self.account = account
        self.number = number
        self.began_at = began_at
        self.tries = 0


class UrgentSite:
    """Instances of a region before upstreams that turn away what exceeds their slots.

    Attributes:
        edges: The instances.
        live: Those that get requests and tell pulses.
        upstreams: Requests at each upstream that is up.
        tries: Time, prefix, account, number of the try, and error code or None of each try.
        delays: Prefix, number of the try and time that each refusal told.
        parted: Whether pulses are lost.
        far: An instance of another region, or None.
        logged: The log events.
    """

    def __init__(
        self,
        instances,
        *,
        upstreams=4,
        slots=10,
        urgency="on",
        accounts=(),
        rate_per_s=0,
        homes=(),
    ):
        self.rng = random.Random(5)
        self.numbers = itertools.count(1)
        self.edges = [
            platform_builders.EdgeUnderTest(f"edge-{n}", policy={"urgency": urgency})
            for n in range(instances)
        ]
        self.live = list(self.edges)
        self.slots = slots
        self.upstreams = {}
        self.tries, self.delays, self.logged, self.agenda = [], [], [], []
        self.rates, self.credit = {}, collections.Counter()
        self.pulse_at = 0.0
        self.parted = False
        self.far = None
        for edge in self.edges:
            edge.publish(a_ranked_publication(accounts, rate_per_s, homes))
            edge.mark_store_read()
        for number in range(upstreams):
            self.register(f"desk-{number}", "desk")
        self.register("lone-0", "lone")
        edge_simulation.discover_all(self.edges)

    @property
    def now(self):
        """Return the virtual time."""
        return self.edges[0].now

    def register(self, name, service):
        """Start an upstream."""
        self.upstreams.setdefault(name, 0)
        for edge in self.edges:
            edge.register_upstream(name, service=service, capacity=self.slots)

    def start_far_region(self, upstreams):
        """Start another region with an instance and idle upstreams."""
        self.far = platform_builders.EdgeUnderTest("far-edge", region="west", now=self.now)
        self.far.publish(a_ranked_publication())
        self.far.mark_store_read()
        self.far.decisions.balancer.estimates.record_work_time("desk", WORK_S)
        for edge, number in itertools.product((*self.edges, self.far), range(upstreams)):
            zone = {"zone": "west-a", "capacity": self.slots}
            edge.register_upstream(f"far-{number}", **zone)
        edge_simulation.discover_all([*self.edges, self.far])

    def remove(self, name):
        """Remove the entry of an upstream, which turns away what still comes."""
        del self.upstreams[name]
        for edge in self.edges:
            edge.decisions.registry.apply_change(name, None, edge.now)
            edge.decisions.registry.by_name[name].removal_at = edge.now

    def set_rate(self, prefix, requests_per_s, account="rinks"):
        """Let callers send requests to a route from now on."""
        self.rates[prefix, account] = requests_per_s

    def at(self, seconds, action, *arguments):
        """Call a function some seconds from now."""
        heapq.heappush(self.agenda, (self.now + seconds, next(self.numbers), action, arguments))

    def run(self, seconds):
        """Advance the time."""
        end = self.now + seconds
        while self.now < end:
            self._arrive()
            while self.agenda and self.agenda[0][0] <= self.now:
                _, _, action, arguments = heapq.heappop(self.agenda)
                action(*arguments)
            if self.now >= self.pulse_at:
                self.pulse_at = self.now + edge_simulation.PULSE_INTERVAL_S
                self._exchange_pulses()
            edge_simulation.advance_clocks(self.edges, STEP_S)

    def _arrive(self):
        for (prefix, account), rate in self.rates.items():
            self.credit[prefix, account] += rate * STEP_S * self.rng.uniform(0.5, 1.5)
            while self.credit[prefix, account] >= 1:
                self.credit[prefix, account] -= 1
                self._try(Caller(prefix, account, next(self.numbers), self.now))

    def _exchange_pulses(self):
        for edge in self.live:
            edge.decisions.tick(edge.now)
            for command in edge.decisions.take_commands(edge.now):
                if type(command) is commands.LogEvent:
                    self.logged.append((edge.now, edge.decisions.instance, command))
        for edge, other in itertools.permutations(() if self.parted else self.live, 2):
            edge.receive_pulse_from(other)
        for edge in self.live if self.far is not None else ():
            self.far.now = edge.now
            edge.receive_pulse_from(self.far)

    def _try(self, caller):
        """Let a caller send its request to any instance."""
        caller.tries += 1
        edge = self.rng.choice(self.live)
        outcome = edge.begin_request(
            f"{caller.prefix}{caller.number}", Authorization=f"Token key-of-{caller.account}"
        )
        self._carry_out(caller, edge, outcome)

    def _carry_out(self, caller, edge, outcome):
        action, request_id = outcome.action, outcome.request_id
        if type(action) is actions.Refuse:
            self._refused(caller, edge, request_id, action.error)
            return
        name = getattr(action.work, "upstream", FAR)
        if name != FAR and self.upstreams.get(name, self.slots) >= self.slots:
            failure = answers.Failure(
                request_id=request_id,
                attempt=action.work.attempt,
                error=errors.GatewayError(errors.Code.UPSTREAM_SHED, step="send", peer=name),
            )
            self._carry_out(caller, edge, edge.resume_request(request_id, failure))
            return
        if name in self.upstreams:
            self.upstreams[name] += 1
        self._record(caller, None)
        edge.resume_request(request_id, builders.a_head(request_id))
        self.at(WORK_S * self.rng.uniform(0.7, 1.3), self._end, name, edge, request_id)

    def _end(self, name, edge, request_id):
        if name in self.upstreams:
            self.upstreams[name] -= 1
        edge.finish_request(request_id)

    def _refused(self, caller, edge, request_id, error):
        assert error.run is errors.RunStatus.NOT_RUN, error
        edge.finish_request(request_id, succeeded=False, error=error)
        self._record(caller, error.code)
        if error.retry_after is not None:
            self.delays.append((caller.prefix, caller.tries, error.retry_after))
        if caller.tries < MAX_TRIES:
            self.at(error.retry_after or UNTOLD_RETURN_S, self._try, caller)

    def _record(self, caller, code):
        self.tries.append((self.now, caller.prefix, caller.account, caller.tries, code))

    def codes(self, prefix, seconds, account=None):
        """Return how often the tries of the last seconds had each outcome; None is success."""
        return collections.Counter(
            code
            for at, tried, name, _, code in self.tries
            if tried == prefix and at >= self.now - seconds and account in (None, name)
        )

    def callers_served(self, prefix, seconds, account):
        """Return how many requests of an account upstreams took in the last seconds."""
        return self.codes(prefix, seconds, account)[None]

    def occupancy(self, service="desk"):
        """Return the taken slots of a service as a part of all."""
        found = [count for name, count in self.upstreams.items() if name.startswith(service)]
        return sum(found) / (len(found) * self.slots)
