"""Callers that read streams of events and take them up again after they broke off."""

from __future__ import annotations

import asyncio
import itertools
import re
import time

import aiohttp

from standins import platform_site, versioned_upstreams
from tests import platform_builders

EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: token \d+ (\S+) (\S+)\n\n")
DEADLINE_MS = 20_000
# Pause before a caller tries again, in seconds.
RETRY_PAUSE_S = 0.25
_numbers = itertools.count(1)


class Event:
    """An event of a stream, as its caller received it.

    Attributes:
        number: Its id.
        version: Software version of the upstream that made it.
        upstream: Id of that upstream.
    """

    __slots__ = ("number", "version", "upstream")

    def __init__(self, number: int, version: str, upstream: str) -> None:
        self.number = number
        self.version = version
        self.upstream = upstream


class Attempt:
    """One request of a caller for its stream.

    Attributes:
        id: Id of the request.
        instance: Name of the instance that it went to.
        status: HTTP status of the answer; 0 without one.
        body: Received bytes of the body.
        seconds: Time until the answer ended, in seconds.
    """

    __slots__ = ("id", "instance", "status", "body", "seconds")

    def __init__(self, instance: str) -> None:
        self.id = f"t{next(_numbers)}"
        self.instance = instance
        self.status = 0
        self.body = b""
        self.seconds = 0.0

    def events(self) -> list[Event]:
        """Return the whole events in the body."""
        return [
            Event(int(number), version.decode(), upstream.decode())
            for number, version, upstream in EVENT_PATTERN.findall(self.body)
        ]


class StreamCaller:
    """A caller with one stream.

    Args:
        path: Path of the stream; it should be the caller's own.
        key: Key of its client account.

    Attributes:
        attempts: Its requests, oldest first.
    """

    __slots__ = ("path", "key", "attempts")

    def __init__(self, path: str, *, key: str = platform_builders.PLATFORM_KEY) -> None:
        self.path = path
        self.key = key
        self.attempts: list[Attempt] = []

    def events(self) -> list[Event]:
        """Return all events that the caller holds, over all its requests."""
        return list(itertools.chain.from_iterable(item.events() for item in self.attempts))

    def versions(self) -> set[str]:
        """Return the software versions whose events the caller holds."""
        return {event.version for event in self.events()}

    def is_complete(self) -> bool:
        """Return whether the caller holds each event of the stream once, in order."""
        numbers = [event.number for event in self.events()]
        return numbers == list(range(1, versioned_upstreams.EVENTS + 1))

    def first_event_id(self) -> str:
        """Return the id of the request that brought the first event, or an empty text."""
        return next((item.id for item in self.attempts if item.events()), "")

    async def read(
        self, instance: str, *, leave_after: int = 0, headers: dict[str, str | None] | None = None
    ) -> Attempt:
        """Ask an instance for the stream, or for the rest of it, and read the answer.

        Args:
            instance: Name of the instance.
            leave_after: Number of events after which the caller disconnects; 0 sets none.
            headers: Headers that replace those of a take-up; None leaves one out.
        """
        attempt = Attempt(instance)
        all_headers = self._headers(attempt) | (headers or {})
        request_headers = {k: value for k, value in all_headers.items() if value is not None}
        self.attempts.append(attempt)
        url = f"http://{platform_site.instance_host(instance)}:7101{self.path}"
        started_at = time.monotonic()
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(url, headers=request_headers) as response,
            ):
                attempt.status = response.status
                async for chunk in response.content.iter_any():
                    attempt.body += chunk
                    if leave_after and len(attempt.events()) >= leave_after:
                        response.close()
                        break
        except (aiohttp.ClientError, ConnectionError):
            pass
        attempt.seconds = time.monotonic() - started_at
        return attempt

    async def finish(self, *instances: str, tries: int = 3) -> None:
        """Take the stream up again at some instances in turn, until it is whole or tries end."""
        for instance in itertools.islice(itertools.cycle(instances), tries):
            if self.is_complete():
                return
            await self.read(instance)
            if not self.is_complete():
                await asyncio.sleep(RETRY_PAUSE_S)

    def _headers(self, attempt: Attempt) -> dict[str, str]:
        headers = {
            "Host": platform_builders.HOST,
            "Authorization": f"Token {self.key}",
            "X-Request-Id": attempt.id,
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        events = self.events()
        if events:
            headers["Last-Event-Id"] = str(events[-1].number)
            headers["Resumes"] = self.first_event_id()
        return headers
