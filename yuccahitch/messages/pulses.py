"""State reports (pulses): datagrams that instances on the platform send each other."""

from __future__ import annotations

import typing

from yuccahitch import records
from yuccahitch.messages import feeds
from yuccahitch.messages import suspects as suspect_messages


class UpstreamUsage(records.Record):
    """Requests that an instance has running at an upstream.

    Attributes:
        upstream: Name of the upstream.
        running: Number of running requests.
        prompt_tokens: Prompt tokens of the requests whose answer has not begun.
        held_tokens: Tokens that the requests may take of the upstream's memory until they end.
    """

    __slots__ = ("upstream", "running", "prompt_tokens", "held_tokens")

    def __init__(
        self, upstream: str, *, running: int, prompt_tokens: int, held_tokens: int = 0
    ) -> None:
        self.upstream = upstream
        self.running = running
        self.prompt_tokens = prompt_tokens
        self.held_tokens = held_tokens


class UrgencyDemand(records.Record):
    """Requests of one priority that callers sent to an instance for a service.

    Refused ones count, so that a refusal doesn't look like less demand.

    Attributes:
        service: Name of the service.
        priority: Priority of the requests; 0 is the most urgent.
        requests_per_s: Rate of the requests, per second.
        work_per_s: Time that they take at upstreams, in seconds a second.
    """

    __slots__ = ("service", "priority", "requests_per_s", "work_per_s")

    def __init__(
        self, service: str, *, priority: int, requests_per_s: float, work_per_s: float
    ) -> None:
        self.service = service
        self.priority = priority
        self.requests_per_s = requests_per_s
        self.work_per_s = work_per_s


class AccountDemand(records.Record):
    """Demand of a client account at an instance.

    Attributes:
        account: Name of the client account.
        tokens_per_s: Requested rate, in tokens a second.
        overdrawn: Tokens by which the instance has exceeded its share of the rate.
    """

    __slots__ = ("account", "tokens_per_s", "overdrawn")

    def __init__(self, account: str, *, tokens_per_s: float, overdrawn: float) -> None:
        self.account = account
        self.tokens_per_s = tokens_per_s
        self.overdrawn = overdrawn


class ServiceCapacity(records.Record):
    """Capacity of a service in the sender's region.

    Attributes:
        service: Name of the service.
        places: Number of requests that the usable upstreams can work on at the same time.
        taken: Number of requests that these upstreams have.
        wait_s: Estimated time to the first token of a short request, in seconds.
    """

    __slots__ = ("service", "places", "taken", "wait_s")

    def __init__(self, service: str, *, places: int, taken: int, wait_s: float) -> None:
        self.service = service
        self.places = places
        self.taken = taken
        self.wait_s = wait_s


class UpstreamLimit(records.Record):
    """What a recent answer to the sender said of the request rate that an upstream takes.

    Attributes:
        incarnation: Incarnation of the upstream.
        requests_per_s: Requests a second from all instances together; infinite if the answer named
            no limit.
        age_s: Time since the answer arrived, in seconds.
    """

    __slots__ = ("incarnation", "requests_per_s", "age_s")

    def __init__(self, incarnation: str, *, requests_per_s: float, age_s: float) -> None:
        self.incarnation = incarnation
        self.requests_per_s = requests_per_s
        self.age_s = age_s


class Pulse(records.Record):
    """State report (pulse) of one instance to the others.

    Attributes:
        instance: Id of the sender.
        region: Region of the sender.
        number: Sequence number of the pulse; a larger one is newer.
        leaving: Whether the sender is shutting down.
        ready: Whether the sender serves requests.
        uses: Requests that the sender has running at the upstreams of its region; empty for
            receivers in other regions.
        demands: Demand of the client accounts.
        rooms: Capacity of each service in the sender's region.
        heard: Seconds since the last pulse of each live instance of the region, by its short id.
        suspects: Requests that upstreams worked on when they crashed.
        limits: Request rates that upstreams of the region named; empty for receivers in other
            regions.
        departures: Incarnations of the upstreams of the region whose answers said that they are
            leaving; empty for receivers in other regions.
        version: Version of the configuration in force at the sender.
        wide: Whether the demands are totals of the sender's region, not of the sender alone.
        urgencies: Demand by service and priority; empty for receivers in other regions.
    """

    __slots__ = (
        "instance",
        "region",
        "number",
        "leaving",
        "ready",
        "uses",
        "demands",
        "rooms",
        "heard",
        "suspects",
        "limits",
        "departures",
        "version",
        "wide",
        "urgencies",
    )

    def __init__(
        self,
        *,
        instance: str,
        region: str,
        number: int,
        leaving: bool,
        ready: bool,
        uses: list[UpstreamUsage],
        demands: list[AccountDemand],
        rooms: list[ServiceCapacity],
        heard: dict[int, float],
        suspects: suspect_messages.SuspectReport,
        limits: list[UpstreamLimit],
        departures: list[str],
        version: int = 0,
        wide: bool = False,
        urgencies: typing.Iterable[UrgencyDemand] = (),
    ) -> None:
        self.instance = instance
        self.region = region
        self.number = number
        self.leaving = leaving
        self.ready = ready
        self.uses = uses
        self.demands = demands
        self.rooms = rooms
        self.heard = heard
        self.suspects = suspects
        self.limits = limits
        self.departures = departures
        self.version = version
        self.wide = wide
        self.urgencies = list(urgencies)


class SendDatagram(records.Record):
    """Send a report to other instances as a datagram.

    Attributes:
        addresses: Peer addresses of the receivers, ``IP:PORT``.
        report: The report.
    """

    __slots__ = ("addresses", "report")

    def __init__(self, addresses: list[str], report: Pulse | feeds.FeedReport) -> None:
        self.addresses = addresses
        self.report = report
