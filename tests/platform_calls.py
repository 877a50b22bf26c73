"""Requests to the running platform site, shared by step modules."""

from __future__ import annotations

import itertools
import time

import aiohttp

from standins import platform_site
from tests import platform_builders

request_numbers = itertools.count(1)


class Reply:
    """An answer as the caller received it.

    Attributes:
        status: HTTP status; 0 if the connection broke before it, negative if it broke after it.
        headers: Response headers.
        body: Received bytes of the body, possibly incomplete.
        seconds: Time from the request to the end of the answer.
        id: Id that the request carried.
    """

    def __init__(self, status, headers, body, seconds, request_id):
        self.status = status
        self.headers = headers
        self.body = body
        self.seconds = seconds
        self.id = request_id


def run(context, awaitable):
    """Run an awaitable on the scenario's event loop and return its result."""
    return context.loop.run_until_complete(awaitable)


async def send(
    session, instance, method, path, *, body=b"", key=platform_builders.PLATFORM_KEY, **headers
):
    """Send a request to an instance and return its reply.

    Underscores in the names of ``headers`` stand for hyphens; an empty key sends no authorization.
    """
    request_id = f"q{next(request_numbers)}"
    request_headers = {
        "Host": platform_builders.HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "4000",
    }
    if key:
        request_headers["Authorization"] = f"Token {key}"
    request_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
    url = f"http://{platform_site.instance_host(instance)}:7101"
    started_at = time.monotonic()
    status, response_headers, response_body = 0, {}, bytearray()
    try:
        target = aiohttp.client.URL(url + path, encoded=True)
        async with session.request(
            method, target, headers=request_headers, data=body or None, allow_redirects=False
        ) as response:
            status, response_headers = response.status, response.headers
            async for chunk in response.content.iter_any():
                response_body += chunk
    except aiohttp.ClientError:
        status = -status if status else 0
    return Reply(
        status, response_headers, bytes(response_body), time.monotonic() - started_at, request_id
    )


def send_one(context, instance, method, path, **options):
    """Send one request over a connection of its own; its reply becomes ``context.replies``."""

    async def work():
        async with aiohttp.ClientSession() as session:
            return await send(session, instance, method, path, **options)

    context.replies = [run(context, work())]


def seen_requests(context):
    """Return the records of requests that upstreams have received since the last reset.

    The field ``at`` of each record names its upstream.
    """

    async def work():
        records = []
        for name in platform_site.UPSTREAMS:
            upstream_records = (await context.site.received_requests(name))["seen"]
            records += [
                entry | {"at": name}
                for entry in upstream_records[context.earlier_request_counts.get(name, 0) :]
            ]
        return records

    return run(context, work())


def skip_earlier_requests(context):
    """Exclude the requests that upstreams have received so far from `seen_requests`."""

    async def work():
        return {
            n: len((await context.site.received_requests(n))["seen"])
            for n in platform_site.UPSTREAMS
        }

    context.earlier_request_counts = run(context, work())


def publish(context, version, **fields):
    """Publish a configuration; its version counts from the version that the scenario began with."""
    document = platform_builders.a_publication(context.version + version, **fields)
    run(context, context.site.write_item("op/config", document))
