"""Simulated traffic: long drafts with prompts that share logs as prefixes, and short questions."""

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
LONG_REQUEST_SHARE = 0.12
BYTES_PER_TOKEN = 4
LOGS_PER_ACCOUNT = 16
LONG_DEADLINE_S = 30.0
SHORT_DEADLINE_S = 10.0
PEAK_PERIOD_S = 120.0


class Site(records.Record):
    """An example deployment.

    Attributes:
        name: Name in the results.
        regions: Names of the regions.
        model: Name of the model service.
        replicas: Number of replicas of the model, assigned to the regions round robin.
        slots: Number of requests in a batch of one replica.
        accounts: Fraction of the traffic by name of the client account.
        link_bytes_per_s: Bandwidth between regions, in bytes a second.
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


def site_entries(site: Site) -> list[entry.Entry]:
    """Return the resources of a deployment.

    Rates are too high to limit any request; ``benchmarks.limits`` measures the limits.
    """
    upstreams = [
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
        *upstreams,
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
    """A request that a caller sends.

    Attributes:
        arrives_at: Time at which the request is sent, in seconds from the start of the run.
        region: Region of the caller.
        account: Name of the client account.
        is_long: Whether it is a long draft rather than a short question.
        log_index: Number of the account's log that starts the prompt; -1 in poison requests.
        is_poison: Whether the request crashes its engine.
    """

    __slots__ = ("arrives_at", "region", "account", "is_long", "log_index", "is_poison")

    def __init__(
        self,
        *,
        arrives_at: float,
        region: str,
        account: str,
        is_long: bool,
        log_index: int,
        is_poison: bool,
    ) -> None:
        self.arrives_at = arrives_at
        self.region = region
        self.account = account
        self.is_long = is_long
        self.log_index = log_index
        self.is_poison = is_poison


class LoadProfile(records.Record):
    """Load that callers put on a site.

    Attributes:
        requests_per_s: Mean requests a second over all regions and accounts.
        peak_amplitude: Amplitude of the daily peaks as a fraction of the mean load. The regions
            peak at different times, and a day lasts ``PEAK_PERIOD_S``.
        greedy_account: Account that sends several times its fraction of the traffic, or empty.
        greedy_factor: Factor by which the load of the greedy account is multiplied.
        poison_interval_s: Time between requests that crash engines, in seconds; 0 sends none.
    """

    __slots__ = (
        "requests_per_s",
        "peak_amplitude",
        "greedy_account",
        "greedy_factor",
        "poison_interval_s",
    )

    def __init__(
        self,
        *,
        requests_per_s: float,
        peak_amplitude: float = 0.0,
        greedy_account: str = "",
        greedy_factor: float = 1.0,
        poison_interval_s: float = 0.0,
    ) -> None:
        self.requests_per_s = requests_per_s
        self.peak_amplitude = peak_amplitude
        self.greedy_account = greedy_account
        self.greedy_factor = greedy_factor
        self.poison_interval_s = poison_interval_s


def generate_arrivals(
    site: Site, load_profile: LoadProfile, *, seed: int, seconds: float
) -> list[Arrival]:
    """Return the requests of a run, ordered by time; the same seed gives the same requests.

    Args:
        site: Deployment that receives the requests.
        load_profile: Load on the site.
        seed: Seed of the arrival times and the kinds of requests.
        seconds: Length of the run, in seconds.
    """
    rng = random.Random(seed)
    generated = []
    for region_index, region in enumerate(site.regions):
        phase = region_index / len(site.regions)
        for account_name, share in site.accounts.items():
            factor = (
                load_profile.greedy_factor if account_name == load_profile.greedy_account else 1.0
            )
            mean_per_s = load_profile.requests_per_s * share * factor / len(site.regions)
            generated += _account_arrivals(
                rng,
                site,
                load_profile,
                region,
                account_name,
                mean_per_s=mean_per_s,
                phase=phase,
                end_s=seconds,
            )
    if load_profile.poison_interval_s:
        poison_times = range(5, int(seconds), max(1, int(load_profile.poison_interval_s)))
        generated += [
            Arrival(
                arrives_at=float(arrives_at),
                region=site.regions[arrives_at % len(site.regions)],
                account=next(iter(site.accounts)),
                is_long=False,
                log_index=-1,
                is_poison=True,
            )
            for arrives_at in poison_times
        ]
    return sorted(generated, key=lambda arrival: arrival.arrives_at)


def _account_arrivals(
    rng: random.Random,
    site: Site,
    load_profile: LoadProfile,
    region: str,
    account_name: str,
    *,
    mean_per_s: float,
    phase: float,
    end_s: float,
) -> typing.Iterator[Arrival]:
    peak_per_s = mean_per_s * (1 + load_profile.peak_amplitude)
    arrives_at = 0.0
    while (arrives_at := arrives_at + rng.expovariate(peak_per_s)) < end_s:
        current_per_s = mean_per_s * (
            1
            + load_profile.peak_amplitude
            * math.sin(2 * math.pi * (arrives_at / PEAK_PERIOD_S + phase))
        )
        if rng.random() * peak_per_s < current_per_s:
            yield Arrival(
                arrives_at=arrives_at,
                region=region,
                account=account_name,
                is_long=rng.random() < LONG_REQUEST_SHARE,
                log_index=rng.randrange(LOGS_PER_ACCOUNT),
                is_poison=False,
            )


class TrafficDriver:
    """Sends requests to random instances of the callers' regions and keeps the results.

    Attributes:
        fleet: Simulated instances.
        site: Deployment that receives the requests.
        results: Each request that was sent, with its result.
        sent_count: Number of requests sent, which numbers their ids.
        rng: Chooses among the instances of a region.
    """

    __slots__ = ("fleet", "site", "results", "sent_count", "rng")

    def __init__(self, fleet: fleets.Fleet, site: Site, *, seed: int) -> None:
        self.fleet = fleet
        self.site = site
        self.results: list[tuple[Arrival, request_flow.RequestResult]] = []
        self.sent_count = 0
        self.rng = random.Random(seed)

    def schedule(self, arrivals: list[Arrival], *, offset: float) -> None:
        """Schedule each request at its arrival time plus ``offset``, in seconds."""
        for arrival in arrivals:
            self.fleet.clock.schedule_at(
                offset + arrival.arrives_at, lambda arrival=arrival: self.send(arrival)
            )

    def send(self, arrival: Arrival) -> None:
        """Send one request to an instance of its region; skip it if none is alive there."""
        regional_instances = [i for i in self.fleet.alive() if i.region == arrival.region]
        if not regional_instances:
            return
        instance = self.rng.choice(regional_instances)
        self.sent_count += 1
        request = _build_request(
            arrival, self.site, self.sent_count, instance.local_time(self.fleet.now)
        )
        self.results.append((arrival, self.fleet.request(instance, request)))


def _build_request(arrival: Arrival, site: Site, number: int, now: float) -> requests.Request:
    prompt_token_count = LONG_PROMPT_TOKENS if arrival.is_long else SHORT_PROMPT_TOKENS
    output_token_count = LONG_OUTPUT_TOKENS if arrival.is_long else SHORT_OUTPUT_TOKENS
    log_hash = xxhash.xxh64_intdigest(f"{arrival.account}/{arrival.log_index}".encode())
    body = json.dumps({"used": output_token_count, "poison": arrival.is_poison}).encode()
    return requests.Request(
        id=f"b-{number}",
        kind=requests.CHAT,
        target=site.model,
        method="POST",
        path="/v1/chat/completions",
        headers=(),
        body=body + b" " * (prompt_token_count * BYTES_PER_TOKEN),
        stream=True,
        prompt_tokens=prompt_token_count,
        max_tokens=output_token_count,
        prefix_hash=log_hash,
        digest="poison" if arrival.is_poison else f"digest-{number}",
        key_digest=key.digest_of(arrival.account),
        operation_key="",
        deadline=now + (LONG_DEADLINE_S if arrival.is_long else SHORT_DEADLINE_S),
    )
