"""Random histories of use and faults, and what plays them on a fake fleet."""

from __future__ import annotations

import functools
import itertools
import json
import random
import typing

import hypothesis
from hypothesis import strategies

from fakes import fleet as fleets
from fakes import instances, network, request_flow
from tests import builders
from yuccahitch import records
from yuccahitch.messages import actions, answers

PROFILE = hypothesis.settings(
    deadline=None,
    derandomize=True,
    database=None,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
REGIONS = ("muscat-a", "sohar-a")


class Spend(records.Record):
    """A request of so many tokens, of which its answer uses a part."""

    __slots__ = ("place", "tokens", "used")

    def __init__(self, place: int, tokens: int, used: int) -> None:
        self.place = place
        self.tokens = tokens
        self.used = min(used, tokens)


class Wait(records.Record):
    """Time passes."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds


class Crash(records.Record):
    """An instance ends at once; another takes its place if ``replaced``."""

    __slots__ = ("place", "replaced")

    def __init__(self, place: int, replaced: bool) -> None:
        self.place = place
        self.replaced = replaced


class Leave(records.Record):
    """An instance shuts down gracefully and another takes its place."""

    __slots__ = ("place",)

    def __init__(self, place: int) -> None:
        self.place = place


class Pause(records.Record):
    """An instance is frozen for a while."""

    __slots__ = ("place", "seconds")

    def __init__(self, place: int, seconds: float) -> None:
        self.place = place
        self.seconds = seconds


class Cut(records.Record):
    """The way between two places is cut, in one direction or both."""

    __slots__ = ("source", "target", "both")

    def __init__(self, source: str, target: str, both: bool) -> None:
        self.source = source
        self.target = target
        self.both = both


class CutInstance(records.Record):
    """An instance is cut off from the store, in one direction or both."""

    __slots__ = ("place", "forth", "back")

    def __init__(self, place: int, forth: bool, back: bool) -> None:
        self.place = place
        self.forth = forth
        self.back = back


class StoreDown(records.Record):
    """The store does not answer."""

    __slots__ = ()


class Lose(records.Record):
    """A share of all messages is lost."""

    __slots__ = ("share",)

    def __init__(self, share: float) -> None:
        self.share = share


class Heal(records.Record):
    """All cuts and losses end."""

    __slots__ = ()


def faults() -> strategies.SearchStrategy[typing.Any]:
    """Return a strategy for one fault."""
    place = strategies.integers(0, 5)
    places = strategies.sampled_from([*REGIONS, network.STORE])
    return strategies.one_of(
        strategies.builds(Crash, place, strategies.booleans()),
        strategies.builds(Leave, place),
        strategies.builds(Pause, place, strategies.sampled_from([0.5, 2.0, 5.0, 9.0])),
        strategies.builds(Cut, places, places, strategies.booleans()),
        strategies.builds(CutInstance, place, strategies.booleans(), strategies.booleans()),
        strategies.builds(StoreDown),
        strategies.builds(Lose, strategies.sampled_from([0.1, 0.3])),
        strategies.builds(Heal),
    )


def histories(*, size: int = 12) -> strategies.SearchStrategy[list[typing.Any]]:
    """Return a strategy for histories: faults with waits between them."""
    waits = strategies.builds(Wait, strategies.sampled_from([0.05, 0.3, 1.0, 3.0, 8.0]))
    pairs = strategies.lists(strategies.tuples(faults(), waits), min_size=1, max_size=size)
    return pairs.map(lambda found: list(itertools.chain.from_iterable(found)))


def serve_part(
    fleet: fleets.Fleet,
    instance: instances.Instance,
    work: actions.Dispatch,
    report: typing.Callable[..., None],
) -> None:
    """Be an upstream that uses as many tokens as the request's body says."""
    used = min(json.loads(work.request.body)["used"], work.max_tokens)
    usage = answers.Usage(0, used)
    fleet.clock.schedule_after(0.02, lambda: report("head"))
    fleet.clock.schedule_after(0.2 + used * 0.01, lambda: report("end", usage=usage))


class Player:
    """Plays a history on a fleet.

    Attributes:
        results: What became of each request.
        first: Place of the instance that a skew favours.
        skew: Share of the requests that go there.
    """

    __slots__ = ("fleet", "results", "replacements", "rng", "busy", "first", "skew")

    def __init__(self, fleet: fleets.Fleet, *, seed: int = 0) -> None:
        self.fleet = fleet
        self.results: list[request_flow.RequestResult] = []
        self.replacements = 0
        self.rng = random.Random(seed)
        self.busy = False
        self.first = 0
        self.skew = 0.0

    def traffic(
        self, *, tokens_per_s: float, mean_tokens: float, most: int, skew: float = 0.0
    ) -> None:
        """Let callers ask at random times, for random tokens, at random instances.

        Args:
            tokens_per_s: Tokens that they ask for in a second, all together.
            mean_tokens: Mean tokens of a request.
            most: Most tokens of a request.
            skew: Share of the requests that go to the instance ``first``.
        """
        self.busy = True
        self.skew = skew

        def ask() -> None:
            if not self.busy:
                return
            tokens = max(1, min(most, int(self.rng.expovariate(1 / mean_tokens))))
            place = self.first if self.rng.random() < self.skew else self.rng.randrange(1000)
            play_step(Spend(place, tokens, self.rng.randint(0, tokens)), self)
            pause = self.rng.expovariate(tokens_per_s / mean_tokens)
            self.fleet.clock.schedule_after(pause, ask)

        ask()

    def play(self, history: typing.Iterable[typing.Any]) -> None:
        """Play all steps, end the faults, and wait until every open request has ended."""
        for step in history:
            play_step(step, self)
        self.fleet.net.heal()
        self.fleet.run(10.0)
        self.busy = False
        self.fleet.run(20.0)

    def pick(self, place: int) -> instances.Instance | None:
        """Return a running instance, or None."""
        running = self.fleet.alive()
        return running[place % len(running)] if running else None

    def replace(self, old: instances.Instance) -> None:
        """Start an instance in the place of another."""
        self.replacements += 1
        fresh = self.fleet.add(f"{old.region}-n{self.replacements}", old.region)
        fresh.decisions.config.merge_and_push(list(old.decisions.config.catalog.entries.values()))


@functools.singledispatch
def play_step(step: typing.Any, player: Player) -> None:
    """Play one step of a history."""
    raise TypeError(type(step))


@play_step.register
def _(step: Spend, player: Player) -> None:
    instance = player.pick(step.place)
    if instance is None:
        return
    body = json.dumps({"used": step.used}).encode()
    now = instance.local_time(player.fleet.now)
    request = builders.a_request(
        prompt_tokens=0, max_tokens=step.tokens, body=body, deadline=now + 20
    )
    player.results.append(player.fleet.request(instance, request))


@play_step.register
def _(step: Wait, player: Player) -> None:
    player.fleet.run(step.seconds)


@play_step.register
def _(step: Crash, player: Player) -> None:
    instance = player.pick(step.place)
    if instance is None or len(player.fleet.alive()) < 2:
        return
    player.fleet.kill(instance)
    if step.replaced:
        player.replace(instance)


@play_step.register
def _(step: Leave, player: Player) -> None:
    instance = player.pick(step.place)
    if instance is None or len(player.fleet.alive()) < 2:
        return
    player.replace(instance)
    player.fleet.run_on(instance, instance.decisions.begin_drain)
    player.fleet.leave(instance)


@play_step.register
def _(step: Pause, player: Player) -> None:
    instance = player.pick(step.place)
    if instance is not None:
        player.fleet.pause(instance, step.seconds)


@play_step.register
def _(step: Cut, player: Player) -> None:
    player.fleet.net.cut(step.source, step.target, both=step.both)


@play_step.register
def _(step: CutInstance, player: Player) -> None:
    instance = player.pick(step.place)
    if instance is None:
        return
    if step.forth:
        player.fleet.net.cut(instance.name, network.STORE, both=False)
    if step.back:
        player.fleet.net.cut(network.STORE, instance.name, both=False)


@play_step.register
def _(step: StoreDown, player: Player) -> None:
    player.fleet.net.store_down = True


@play_step.register
def _(step: Lose, player: Player) -> None:
    player.fleet.net.loss = step.share


@play_step.register
def _(step: Heal, player: Player) -> None:
    player.fleet.net.heal()
