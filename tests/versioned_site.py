"""Services with upstreams of several software versions on the platform site."""

from __future__ import annotations

import asyncio
import itertools
import time
import typing

from standins import platform_site, versioned_upstreams
from tests import platform_builders, stream_callers

# Time within which new streams begin at a version that has begun to serve, in seconds.
IN_USE_TIMEOUT_S = 15.0
# Time after which an upstream whose entry is gone gets no more requests, in seconds.
GONE_S = 4.0
POLL_INTERVAL_S = 0.1
SHARED_ROUTE = "/both/"
OTHER_KEY = "key-of-docks"
_numbers = itertools.count(1)


class VersionedService:
    """A service with upstreams of several software versions, new for each scenario.

    Args:
        site: The platform site.

    Attributes:
        name: Its name.
        prefix: Path prefix of its route.
    """

    __slots__ = ("site", "name", "prefix")

    def __init__(self, site: platform_site.Site) -> None:
        self.site = site
        number = next(_numbers)
        self.name = f"text{number}"
        self.prefix = f"/draft{number}/"

    def new_caller(self, **options: typing.Any) -> stream_callers.StreamCaller:
        """Return a caller with a path of its own on the service's route."""
        return stream_callers.StreamCaller(f"{self.prefix}{next(_numbers)}", **options)

    async def register(self, *versions: str) -> None:
        """Register the upstreams of some versions in east, started just now."""
        self.site.upstreams_born_ms += 1
        for version in versions:
            for name in versioned_upstreams.names_of(version):
                await self.site.register_upstream(name, service=self.name)

    async def drain(self, version: str) -> None:
        """Let the upstreams of a version say that they are draining."""
        for name in versioned_upstreams.names_of(version):
            await self.site.register_upstream(name, service=self.name, state="draining", sequence=2)

    async def remove(self, version: str) -> None:
        """Remove the entries of the upstreams of a version."""
        for name in versioned_upstreams.names_of(version):
            await self.site.write_item(f"servers/{name}", None)

    async def wait_until_in_use(self, *versions: str, path: str = "") -> None:
        """Wait until new streams have begun at each of some versions.

        Raises:
            TimeoutError: When none begins at one of them in time.
        """
        missing = set(versions)
        deadline = time.monotonic() + IN_USE_TIMEOUT_S
        while missing:
            caller = stream_callers.StreamCaller(path) if path else self.new_caller()
            await caller.read("edge-east-1", leave_after=1)
            missing -= caller.versions()
            await asyncio.sleep(POLL_INTERVAL_S)
            if time.monotonic() > deadline:
                raise TimeoutError(f"no new stream began at {sorted(missing)}")


def a_document(version: int, *services: VersionedService) -> dict[str, typing.Any]:
    """Return a configuration with a resumable route for each service, and one for all of them."""
    document = platform_builders.a_publication(version)
    options = {"kind": "streaming", "timeoutMs": 20_000, "maxAttempts": 4, "resumable": True}
    for service in services:
        route = platform_builders.a_published_route(
            service.name, service.prefix, service=service.name, **options
        )
        document["routes"].append(route)
        document["services"].append(
            {"name": service.name, "healthPath": "/health", "maxConnections": 100}
        )
    backends = [{"service": service.name, "weight": 1} for service in services]
    document["routes"].append(
        platform_builders.a_published_route("both", SHARED_ROUTE, backends=backends, **options)
    )
    other = platform_builders.a_published_tenant("docks", apiKeys=[OTHER_KEY])
    document["tenants"].append(other)
    return document


async def requests_that_ran(site: platform_site.Site) -> set[str]:
    """Return the ids of all requests that upstreams of several versions ever ran."""
    reports = [await site.received_requests(name) for name in versioned_upstreams.UPSTREAMS]
    return {record["id"] for report in reports for record in report["seen"] if record["ran"]}
