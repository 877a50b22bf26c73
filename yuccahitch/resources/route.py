"""Routes, which map the target or the host and path of a request to services."""

from __future__ import annotations

import enum
import itertools
import typing

import xxhash

from yuccahitch import records


class RepeatPolicy(enum.Enum):
    """Whether the requests of a route may run more than once, and whether streams can resume."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    RESUMABLE = "resumable"


class Route(records.Record):
    """A route, either by target or by host and path prefix.

    Attributes:
        name: Unique name.
        target: Model or service name that callers use; empty on a route by host and path.
        service: Service that answers; empty when several services share the route.
        regions: Regions where the data may reside; empty means every region.
        accounts: Client accounts that may use the route; empty means all.
        open: Whether requests need no key.
        account: Client account that the requests of an open route run for.
        idempotent: Whether a request may run more than once.
        host: Host that the requests name, on a route by host and path.
        prefix: Prefix of the requests' paths, which begins and ends with a slash.
        backends: Services that share the route, each with its weight.
        repeat: Whether requests may be repeated and interrupted streams resumed.
        streams: Whether the answers are streams of events.
        timeout_s: Longest time that a caller waits for an answer, in seconds; 0 means no limit.
        target_s: Target for the time until an answer begins, in seconds.
        attempts: Largest number of upstreams that may run one request.
        priority: Priority of the requests; 0 comes first.
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


def services_of(route: Route) -> tuple[str, ...]:
    """Return the names of all services that may answer the requests of a route."""
    return tuple(name for name, _ in route.backends) if route.backends else (route.service,)


def longest_prefix_first(routes: typing.Iterable[Route]) -> list[Route]:
    """Return the routes of a host, sorted with the longest prefix first."""
    return sorted(routes, key=lambda item: -len(item.prefix))


def match_path(routes: typing.Iterable[Route], path: str) -> Route | None:
    """Return the first route whose prefix the path begins with, or None."""
    return next((item for item in routes if path.startswith(item.prefix)), None)


def choose_service(route: Route, request_id: str) -> str:
    """Return the name of the service for a request, chosen by the weights of the backends.

    The hash of the request id decides, so that every choice for one request is the same.

    Args:
        route: Route of the request.
        request_id: Id of the request.
    """
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
