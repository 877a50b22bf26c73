"""The users' workloads: long drafts over logs that repeat, and short questions."""

from __future__ import annotations

import json
import math
import random
import typing

import xxhash

from fakes import fleet as fleets
from fakes import request_flow
from yuccahitch import records
from yuccahitch.messages import requests
from yuccahitch.resources import account, entry, key, rate, route, service, upstream

LONG_PROMPT_TOKENS = 6000
LONG_OUTPUT_TOKENS = 400
SHORT_PROMPT_TOKENS = 1200
SHORT_OUTPUT_TOKENS = 40
LONG_SHARE = 0.12
BYTES_PER_TOKEN = 4
LOGS_PER_ACCOUNT = 16
DEADLINE_S = 30.0
SHORT_DEADLINE_S = 10.0
PERIOD_S = 120.0


class Site(records.Record):
    """An example deployment.

    Attributes:
        name: Its name.
        regions: Its regions.
        model: Its model service.
        replicas: Replicas of the model, spread over the regions in turn.
        slots: Requests in a replica's batch.
        accounts: Client accounts with their share of the traffic.
        link_bytes_per_s: Bandwidth between regions.
    """

    __slots__ = (
        "name",
        "regions",
        "model",
        "replicas",
        "slots",
        "accounts",
        "link_bytes_per_s",
    )

    def __init__(
        self,
        *,
        name: str,
        regions: tuple[str, ...],
        model: str,
        replicas: int,
        slots: int,
        accounts: dict[str, float],
        link_bytes_per_s: float,
    ) -> None:
        self.name = name
        self.regions = regions
        self.model = model
        self.replicas = replicas
        self.slots = slots
        self.accounts = accounts
        self.link_bytes_per_s = link_bytes_per_s


ICE_WORKS = Site(
    name="ice-works",
    regions=("muscat-a", "sohar-a", "salalah-a"),
    model="ice-model",
    replicas=5,
    slots=8,
    accounts={"sahil": 0.35, "hotels": 0.25, "clubs": 0.2, "schools": 0.1, "guests": 0.1},
    link_bytes_per_s=8_750_000,
)
DOORS = Site(
    name="doors",
    regions=("occ-a", "cen-a", "nte-a"),
    model="pintor-lm",
    replicas=6,
    slots=8,
    accounts={"occidente": 0.3, "centro": 0.3, "norte": 0.2, "talleres": 0.1, "visitas": 0.1},
    link_bytes_per_s=125_000_000,
)


def entries(site: Site) -> list[entry.Entry]:
    """Return the resources of a deployment; rates are wide, as limits are measured apart."""
    models = [
        upstream.Upstream(
            name=f"{site.model}-{number + 1}",
            service=site.model,
            region=site.regions[number % len(site.regions)],
            zone=f"{site.regions[number % len(site.regions)]}1",
            address="http://127.0.0.1:1",
            slots=site.slots,
            cost=1.0 + 0.2 * (number % len(site.regions)),
            abilities=("load",),
        )
        for number in range(site.replicas)
    ]
    specs: list[entry.Spec] = [
        service.Service(name=site.model, max_output_tokens=2000),
        route.Route(name=site.model, target=site.model, service=site.model),
        *models,
    ]
    for name in site.accounts:
        specs.append(account.Account(name=name))
        specs.append(key.Key(name=name, account=name, digest=key.digest_of(name)))
        specs.append(rate.Rate(name=name, tokens_per_s=1e6, burst_tokens=1e7))
    return [
        entry.Entry(
            kind=entry.kind_of(spec), name=spec.name, version=1, write_id="bench", spec=spec
        )
        for spec in specs
    ]


class Arrival(records.Record):
    """A request as a caller sends it."""

    __slots__ = ("at", "region", "account", "long", "log", "poison")

    def __init__(
        self, *, at: float, region: str, account: str, long: bool, log: int, poison: bool
    ) -> None:
        self.at = at
        self.region = region
        self.account = account
        self.long = long
        self.log = log
        self.poison = poison


class Load(records.Record):
    """How much callers ask for.

    Attributes:
        per_s: Requests a second, all regions and accounts together, on average.
        swing: Height of the daily peaks, offset between regions, as a share.
        greedy: Account that asks for several times its share, or empty.
        greed: How many times its share it asks for.
        poison_every_s: Time between requests that crash engines; 0 means none.
    """

    __slots__ = ("per_s", "swing", "greedy", "greed", "poison_every_s")

    def __init__(
        self,
        *,
        per_s: float,
        swing: float = 0.0,
        greedy: str = "",
        greed: float = 1.0,
        poison_every_s: float = 0.0,
    ) -> None:
        self.per_s = per_s
        self.swing = swing
        self.greedy = greedy
        self.greed = greed
        self.poison_every_s = poison_every_s


def arrivals(site: Site, load: Load, *, seed: int, seconds: float) -> list[Arrival]:
    """Return the requests of a run; the same seed gives the same ones."""
    rng = random.Random(seed)
    found = []
    for number, region in enumerate(site.regions):
        phase = number / len(site.regions)
        for name, share in site.accounts.items():
            factor = load.greed if name == load.greedy else 1.0
            mean = load.per_s * share * factor / len(site.regions)
            found += _stream(rng, site, load, region, name, mean=mean, phase=phase, end=seconds)
    if load.poison_every_s:
        times = range(5, int(seconds), max(1, int(load.poison_every_s)))
        found += [
            Arrival(
                at=float(at),
                region=site.regions[at % len(site.regions)],
                account=next(iter(site.accounts)),
                long=False,
                log=-1,
                poison=True,
            )
            for at in times
        ]
    return sorted(found, key=lambda item: item.at)


def _stream(
    rng: random.Random,
    site: Site,
    load: Load,
    region: str,
    name: str,
    *,
    mean: float,
    phase: float,
    end: float,
) -> typing.Iterator[Arrival]:
    peak = mean * (1 + load.swing)
    at = 0.0
    while (at := at + rng.expovariate(peak)) < end:
        level = mean * (1 + load.swing * math.sin(2 * math.pi * (at / PERIOD_S + phase)))
        if rng.random() * peak < level:
            yield Arrival(
                at=at,
                region=region,
                account=name,
                long=rng.random() < LONG_SHARE,
                log=rng.randrange(LOGS_PER_ACCOUNT),
                poison=False,
            )


class Driver:
    """Sends the requests to the instances that callers would use, and keeps the results."""

    __slots__ = ("fleet", "site", "results", "numbers", "rng")

    def __init__(self, fleet: fleets.Fleet, site: Site, *, seed: int) -> None:
        self.fleet = fleet
        self.site = site
        self.results: list[tuple[Arrival, request_flow.RequestResult]] = []
        self.numbers = 0
        self.rng = random.Random(seed)

    def schedule(self, items: list[Arrival], *, offset: float) -> None:
        """Send each request at its time."""
        for item in items:
            self.fleet.clock.schedule_at(offset + item.at, lambda item=item: self.send(item))

    def send(self, item: Arrival) -> None:
        """Send one request to an instance of its region."""
        near = [i for i in self.fleet.alive() if i.region == item.region]
        if not near:
            return
        instance = self.rng.choice(near)
        self.numbers += 1
        request = _request(item, self.site, self.numbers, instance.local_time(self.fleet.now))
        self.results.append((item, self.fleet.request(instance, request)))


def _request(item: Arrival, site: Site, number: int, now: float) -> requests.Request:
    prompt = LONG_PROMPT_TOKENS if item.long else SHORT_PROMPT_TOKENS
    output = LONG_OUTPUT_TOKENS if item.long else SHORT_OUTPUT_TOKENS
    prefix = xxhash.xxh64_intdigest(f"{item.account}/{item.log}".encode())
    body = json.dumps({"used": output, "poison": item.poison}).encode()
    return requests.Request(
        id=f"b-{number}",
        kind=requests.CHAT,
        target=site.model,
        method="POST",
        path="/v1/chat/completions",
        headers=(),
        body=body + b" " * (prompt * BYTES_PER_TOKEN),
        stream=True,
        prompt_tokens=prompt,
        max_tokens=output,
        prefix_hash=prefix,
        digest="poison" if item.poison else f"digest-{number}",
        key_digest=key.digest_of(item.account),
        operation_key="",
        deadline=now + (DEADLINE_S if item.long else SHORT_DEADLINE_S),
    )
