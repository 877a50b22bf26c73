"""Requests to upstreams, and what their answers say about tokens."""

from __future__ import annotations

import json
import typing

from yuccahitch import records
from yuccahitch.messages import actions, answers, peers, requests

REQUEST_ID_HEADER = "x-request-id"
PRIORITY_HEADER = "x-priority"
FENCING_HEADER = "x-fencing-number"
EVENT_MARK = b"data:"
TOKEN_MARK = b'"content"'
DONE_MARK = b"data: [DONE]"
TAIL_BYTES = 4096
MAX_USAGE_BYTES = 1_048_576


class Call(records.Record):
    """An HTTP request to an upstream."""

    __slots__ = ("method", "url", "headers", "body")

    def __init__(self, method: str, url: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.url = url
        self.headers = headers
        self.body = body


def attempt_id(work: actions.Dispatch) -> str:
    """Return the id by which an answer is matched to its attempt."""
    return f"{work.request.id}.{work.attempt}"


def encode(work: actions.Dispatch) -> Call:
    """Return the HTTP request of an attempt; it holds no credential of the caller."""
    request = work.request
    headers = dict(request.headers)
    headers[REQUEST_ID_HEADER] = attempt_id(work)
    headers[PRIORITY_HEADER] = str(work.priority)
    body = request.body
    if request.kind == requests.CHAT:
        headers["content-type"] = "application/json"
        body = _limited(request.body, work.max_tokens)
    return Call(request.method, work.address + request.path, headers, body)


class Meter:
    """Counts the tokens of an answer and tells whether it is whole.

    Args:
        stream: Whether the answer is a stream of events.
        prompt_tokens: Prompt tokens as the gateway counts them.
    """

    __slots__ = ("stream", "prompt_tokens", "tokens", "carry", "tail", "body")

    def __init__(self, *, stream: bool, prompt_tokens: int) -> None:
        self.stream = stream
        self.prompt_tokens = prompt_tokens
        self.tokens = 0
        self.carry = b""
        self.tail = b""
        self.body = bytearray()

    def add(self, data: bytes) -> None:
        """Take in bytes of the answer."""
        if not self.stream:
            if len(self.body) < MAX_USAGE_BYTES:
                self.body += data
            return
        joined = self.carry + data
        self.tokens += joined.count(TOKEN_MARK)
        self.carry = joined[-len(TOKEN_MARK) + 1 :]
        self.tail = (self.tail + data)[-TAIL_BYTES:]

    def whole(self) -> bool:
        """Return whether a stream came to its end; other answers are checked by their length."""
        return not self.stream or DONE_MARK in self.tail

    def usage(self) -> answers.Usage:
        """Return the tokens used, as the upstream says or as counted."""
        if self.stream:
            reported = self._tail_usage()
            counted = self.tokens
        else:
            reported = _reported(bytes(self.body))
            counted = 0
        output = reported if reported is not None else counted
        return answers.Usage(self.prompt_tokens, output)

    def _tail_usage(self) -> int | None:
        events = [e for e in self.tail.split(EVENT_MARK) if b'"usage"' in e]
        return _reported(events[-1]) if events else None


def load_from_json(upstream: str, data: typing.Any) -> peers.LoadReport:
    """Read an engine's load report.

    Raises:
        KeyError: When a field is missing.
        TypeError: When the report is not an object.
        ValueError: When a field is no number.
    """
    return peers.LoadReport(
        upstream=upstream,
        running=int(data["running"]),
        waiting=int(data["waiting"]),
        sequence=int(data["sequence"]),
        leaving=bool(data.get("leaving", False)),
        age_ms=int(data.get("age_ms", 0)),
    )


def _reported(data: bytes) -> int | None:
    try:
        return int(json.loads(data)["usage"]["completion_tokens"])
    except (ValueError, KeyError, TypeError):
        return None


def _limited(body: bytes, max_tokens: int) -> bytes:
    """Return the body with the limit of the answer that was reserved."""
    data = json.loads(body)
    name = "max_completion_tokens" if "max_completion_tokens" in data else "max_tokens"
    data[name] = max_tokens
    return json.dumps(data, ensure_ascii=False).encode()
