"""Random histories of requests and faults, and a player that runs them on a fake fleet."""

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


class RequestTokens(records.Record):
    """A request that asks for some tokens and uses at most these.

    Attributes:
        instance_index: Index of the instance, modulo the number of running ones.
        tokens: Tokens that the request asks for.
        used_tokens: Tokens that its answer uses.
    """

    __slots__ = ("instance_index", "tokens", "used_tokens")

    def __init__(self, instance_index: int, tokens: int, used_tokens: int) -> None:
        self.instance_index = instance_index
        self.tokens = tokens
        self.used_tokens = min(used_tokens, tokens)


class Wait(records.Record):
    """Virtual time passes, in seconds."""

    __slots__ = ("seconds",)

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds


class Crash(records.Record):
    """An instance crashes; another is started in its place if ``has_replacement``."""

    __slots__ = ("instance_index", "has_replacement")

    def __init__(self, instance_index: int, has_replacement: bool) -> None:
        self.instance_index = instance_index
        self.has_replacement = has_replacement


class Leave(records.Record):
    """An instance shuts down gracefully after another was started in its place."""

    __slots__ = ("instance_index",)

    def __init__(self, instance_index: int) -> None:
        self.instance_index = instance_index


class Pause(records.Record):
    """An instance is frozen for some seconds."""

    __slots__ = ("instance_index", "seconds")

    def __init__(self, instance_index: int, seconds: float) -> None:
        self.instance_index = instance_index
        self.seconds = seconds


class CutLink(records.Record):
    """The link between two regions, or a region and the store, is cut one way or both ways."""

    __slots__ = ("source", "target", "both")

    def __init__(self, source: str, target: str, both: bool) -> None:
        self.source = source
        self.target = target
        self.both = both


class CutStoreLink(records.Record):
    """The link between an instance and the store is cut, in the directions that are set."""

    __slots__ = ("instance_index", "to_store", "from_store")

    def __init__(self, instance_index: int, to_store: bool, from_store: bool) -> None:
        self.instance_index = instance_index
        self.to_store = to_store
        self.from_store = from_store


class StoreDown(records.Record):
    """The store stops answering."""

    __slots__ = ()


class LoseMessages(records.Record):
    """The network loses this share of all messages, from 0 to 1."""

    __slots__ = ("share",)

    def __init__(self, share: float) -> None:
        self.share = share


class Heal(records.Record):
    """All faults of the network end."""

    __slots__ = ()


def faults() -> strategies.SearchStrategy[typing.Any]:
    """Return a strategy for one fault."""
    instance_index = strategies.integers(0, 5)
    places = strategies.sampled_from([*REGIONS, network.STORE])
    return strategies.one_of(
        strategies.builds(Crash, instance_index, strategies.booleans()),
        strategies.builds(Leave, instance_index),
        strategies.builds(Pause, instance_index, strategies.sampled_from([0.5, 2.0, 5.0, 9.0])),
        strategies.builds(CutLink, places, places, strategies.booleans()),
        strategies.builds(
            CutStoreLink, instance_index, strategies.booleans(), strategies.booleans()
        ),
        strategies.builds(StoreDown),
        strategies.builds(LoseMessages, strategies.sampled_from([0.1, 0.3])),
        strategies.builds(Heal),
    )


def histories(*, size: int = 12) -> strategies.SearchStrategy[list[typing.Any]]:
    """Return a strategy for histories of up to ``size`` faults, each followed by a wait."""
    waits = strategies.builds(Wait, strategies.sampled_from([0.05, 0.3, 1.0, 3.0, 8.0]))
    pairs = strategies.lists(strategies.tuples(faults(), waits), min_size=1, max_size=size)
    return pairs.map(lambda fault_wait_pairs: list(itertools.chain.from_iterable(fault_wait_pairs)))


def serve_partial_usage(
    fleet: fleets.Fleet,
    instance: instances.Instance,
    dispatch: actions.Dispatch,
    report: typing.Callable[..., None],
) -> None:
    """Serve a request as an upstream that uses the tokens given in the request's body.

    Args:
        fleet: Fleet whose virtual clock times the answer.
        instance: Instance that sent the request.
        dispatch: The request as sent to the upstream; its body is JSON with the key ``used``.
        report: Called with the part of the answer, ``head`` or ``end``, and its usage.
    """
    used_tokens = min(json.loads(dispatch.request.body)["used"], dispatch.max_tokens)
    usage = answers.Usage(0, used_tokens)
    fleet.clock.schedule_after(0.02, lambda: report("head"))
    fleet.clock.schedule_after(0.2 + used_tokens * 0.01, lambda: report("end", usage=usage))


class HistoryPlayer:
    """Plays a history on a fleet.

    Attributes:
        fleet: The fleet in virtual time.
        results: Result of each request sent, also of those still open.
        replacements: How many instances were started in the place of others.
        rng: Random numbers of the traffic.
        traffic_running: Whether callers go on sending requests.
        favoured_index: Index of the instance that gets the skewed share of the traffic.
        skew: Share of the requests for that instance, from 0 to 1.
    """

    __slots__ = (
        "fleet",
        "results",
        "replacements",
        "rng",
        "traffic_running",
        "favoured_index",
        "skew",
    )

    def __init__(self, fleet: fleets.Fleet, *, seed: int = 0) -> None:
        self.fleet = fleet
        self.results: list[request_flow.RequestResult] = []
        self.replacements = 0
        self.rng = random.Random(seed)
        self.traffic_running = False
        self.favoured_index = 0
        self.skew = 0.0

    def start_traffic(
        self, *, tokens_per_s: float, mean_tokens: float, max_request_tokens: int, skew: float = 0.0
    ) -> None:
        """Start requests at random times, with random tokens, to random instances.

        Args:
            tokens_per_s: Mean tokens that all requests together ask for in a second.
            mean_tokens: Mean tokens of a request.
            max_request_tokens: Upper limit of the tokens of a request.
            skew: Share of the requests that go to the instance at ``favoured_index``.
        """
        self.traffic_running = True
        self.skew = skew

        def send_random_request() -> None:
            if not self.traffic_running:
                return
            tokens = max(1, min(max_request_tokens, int(self.rng.expovariate(1 / mean_tokens))))
            instance_index = (
                self.favoured_index if self.rng.random() < self.skew else self.rng.randrange(1000)
            )
            play_step(RequestTokens(instance_index, tokens, self.rng.randint(0, tokens)), self)
            interval_s = self.rng.expovariate(tokens_per_s / mean_tokens)
            self.fleet.clock.schedule_after(interval_s, send_random_request)

        send_random_request()

    def play(self, history: typing.Iterable[typing.Any]) -> None:
        """Play all steps, end the network's faults, stop the traffic and let open requests end."""
        for step in history:
            play_step(step, self)
        self.fleet.net.heal()
        self.fleet.run(10.0)
        self.traffic_running = False
        self.fleet.run(20.0)

    def running_instance(self, instance_index: int) -> instances.Instance | None:
        """Return the running instance at an index, modulo their number, or None if none runs."""
        running = self.fleet.alive()
        return running[instance_index % len(running)] if running else None

    def start_replacement(self, replaced_instance: instances.Instance) -> None:
        """Start an instance in the region of another, with that one's resources."""
        self.replacements += 1
        replacement = self.fleet.add(
            f"{replaced_instance.region}-n{self.replacements}", replaced_instance.region
        )
        replacement.decisions.config.merge_and_push(
            list(replaced_instance.decisions.config.catalog.entries.values())
        )


@functools.singledispatch
def play_step(step: typing.Any, player: HistoryPlayer) -> None:
    """Play one step of a history."""
    raise TypeError(type(step))


@play_step.register
def _(step: RequestTokens, player: HistoryPlayer) -> None:
    instance = player.running_instance(step.instance_index)
    if instance is None:
        return
    body = json.dumps({"used": step.used_tokens}).encode()
    now = instance.local_time(player.fleet.now)
    request = builders.a_request(
        prompt_tokens=0, max_tokens=step.tokens, body=body, deadline=now + 20
    )
    player.results.append(player.fleet.request(instance, request))


@play_step.register
def _(step: Wait, player: HistoryPlayer) -> None:
    player.fleet.run(step.seconds)


@play_step.register
def _(step: Crash, player: HistoryPlayer) -> None:
    instance = player.running_instance(step.instance_index)
    if instance is None or len(player.fleet.alive()) < 2:
        return
    player.fleet.kill(instance)
    if step.has_replacement:
        player.start_replacement(instance)


@play_step.register
def _(step: Leave, player: HistoryPlayer) -> None:
    instance = player.running_instance(step.instance_index)
    if instance is None or len(player.fleet.alive()) < 2:
        return
    player.start_replacement(instance)
    player.fleet.run_on(instance, instance.decisions.begin_drain)
    player.fleet.leave(instance)


@play_step.register
def _(step: Pause, player: HistoryPlayer) -> None:
    instance = player.running_instance(step.instance_index)
    if instance is not None:
        player.fleet.pause(instance, step.seconds)


@play_step.register
def _(step: CutLink, player: HistoryPlayer) -> None:
    player.fleet.net.cut(step.source, step.target, both=step.both)


@play_step.register
def _(step: CutStoreLink, player: HistoryPlayer) -> None:
    instance = player.running_instance(step.instance_index)
    if instance is None:
        return
    if step.to_store:
        player.fleet.net.cut(instance.name, network.STORE, both=False)
    if step.from_store:
        player.fleet.net.cut(network.STORE, instance.name, both=False)


@play_step.register
def _(step: StoreDown, player: HistoryPlayer) -> None:
    player.fleet.net.store_down = True


@play_step.register
def _(step: LoseMessages, player: HistoryPlayer) -> None:
    player.fleet.net.loss = step.share


@play_step.register
def _(step: Heal, player: HistoryPlayer) -> None:
    player.fleet.net.heal()
