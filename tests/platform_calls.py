"""Calls of the running platform site that steps share."""

from __future__ import annotations

import itertools
import time

import aiohttp

from standins import platform_site
from tests import builders

numbers = itertools.count(1)


class Reply:
    """An answer as a caller saw it; status 0 means that the connection broke."""

    def __init__(self, status, headers, body, seconds, request_id):
        self.status = status
        self.headers = headers
        self.body = body
        self.seconds = seconds
        self.id = request_id


def run(context, work):
    return context.loop.run_until_complete(work)


async def ask(session, instance, method, path, *, body=b"", key=builders.PLATFORM_KEY, **headers):
    """Send a request and return its reply."""
    request_id = f"q{next(numbers)}"
    sent = {"Host": builders.HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "4000"}
    if key:
        sent["Authorization"] = f"Token {key}"
    sent |= {name.replace("_", "-"): value for name, value in headers.items()}
    url = f"http://{platform_site.instance_host(instance)}:7101"
    began = time.monotonic()
    status, found, received = 0, {}, bytearray()
    try:
        target = aiohttp.client.URL(url + path, encoded=True)
        async with session.request(method, target, headers=sent, data=body or None) as response:
            status, found = response.status, response.headers
            async for data in response.content.iter_any():
                received += data
    except aiohttp.ClientError:
        status = -status if status else 0
    return Reply(status, found, bytes(received), time.monotonic() - began, request_id)


def one(context, instance, method, path, **options):
    async def work():
        async with aiohttp.ClientSession() as session:
            return await ask(session, instance, method, path, **options)

    context.replies = [run(context, work())]


def received_requests(context):
    """Return what all upstreams saw since the scenario began, each with its upstream's name."""

    async def work():
        found = []
        for name in platform_site.UPSTREAMS:
            told = (await context.site.received_requests(name))["seen"]
            found += [entry | {"at": name} for entry in told[context.marks.get(name, 0) :]]
        return found

    return run(context, work())


def mark(context):
    """Forget what the upstreams saw so far."""

    async def work():
        return {
            n: len((await context.site.received_requests(n))["seen"])
            for n in platform_site.UPSTREAMS
        }

    context.marks = run(context, work())


def publish(context, version, **fields):
    document = builders.a_publication(context.version + version, **fields)
    run(context, context.site.write_item("op/config", document))
