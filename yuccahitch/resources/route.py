"""Routes from what callers ask for to services."""

from __future__ import annotations

import enum
import itertools
import typing

import xxhash

from yuccahitch import records


class RepeatPolicy(enum.Enum):
    """Whether a request of a route may be run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    RESUMABLE = "resumable"


class Route(records.Record):
    """A route.

    Attributes:
        name: Unique name.
        target: Model or service name that callers use; empty on a route by host and path.
        service: Service that answers; empty when several share the route.
        regions: Regions where the data may reside; empty means every region.
        accounts: Client accounts that may use it; empty means all.
        open: Whether requests need no key.
        account: Client account that an open route's requests run for.
        idempotent: Whether a request may be run more than once.
        host: Host that the requests name, on a route by host and path.
        prefix: Beginning of their paths, from slash to slash.
        backends: Services that share the route, with their weights.
        repeat: What may be repeated.
        streams: Whether the answers are streams of events.
        timeout_s: Longest time that a caller is kept waiting, in seconds; 0 means no limit.
        target_s: Time in which an answer should begin, in seconds.
        attempts: Most upstreams that may run one request.
        priority: Rank of the requests; 0 comes first.
    """

    __slots__ = (
        "name",
        "target",
        "service",
        "regions",
        "accounts",
        "open",
        "account",
        "idempotent",
        "host",
        "prefix",
        "backends",
        "repeat",
        "streams",
        "timeout_s",
        "target_s",
        "attempts",
        "priority",
    )

    def __init__(
        self,
        *,
        name: str,
        target: str = "",
        service: str = "",
        regions: tuple[str, ...] = (),
        accounts: tuple[str, ...] = (),
        open: bool = False,
        account: str = "",
        idempotent: bool = True,
        host: str = "",
        prefix: str = "",
        backends: tuple[tuple[str, int], ...] = (),
        repeat: RepeatPolicy = RepeatPolicy.SAFE,
        streams: bool = False,
        timeout_s: float = 0.0,
        target_s: float = 0.0,
        attempts: int = 3,
        priority: int = 0,
    ) -> None:
        self.name = name
        self.target = target
        self.service = service
        self.regions = tuple(regions)
        self.accounts = tuple(accounts)
        self.open = open
        self.account = account
        self.idempotent = idempotent
        self.host = host
        self.prefix = prefix
        self.backends = tuple(backends)
        self.repeat = repeat
        self.streams = streams
        self.timeout_s = timeout_s
        self.target_s = target_s
        self.attempts = attempts
        self.priority = priority


def longest_prefix_first(routes: typing.Iterable[Route]) -> list[Route]:
    """Return a host's routes with the longest prefix first."""
    return sorted(routes, key=lambda item: -len(item.prefix))


def match_path(routes: typing.Iterable[Route], path: str) -> Route | None:
    """Return the first route whose prefix begins a path, or None."""
    return next((item for item in routes if path.startswith(item.prefix)), None)


def choose_service(route: Route, request_id: str) -> str:
    """Return the service that gets a request of a route, by the services' weights."""
    if not route.backends:
        return route.service
    names = [name for name, _ in route.backends]
    cumulative_weights = list(itertools.accumulate(weight for _, weight in route.backends))
    point = xxhash.xxh64_intdigest(request_id.encode()) % max(1, cumulative_weights[-1])
    return next(
        (
            service_name
            for service_name, cumulative_weight in zip(names, cumulative_weights, strict=True)
            if point < cumulative_weight
        ),
        names[-1],
    )
