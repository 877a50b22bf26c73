"""Requests to upstreams, and what their answers say about tokens."""

from __future__ import annotations

import json
import typing

from yuccahitch import records
from yuccahitch.messages import actions, answers, peers, requests

REQUEST_ID_HEADER = "x-request-id"
PRIORITY_HEADER = "x-priority"
FENCING_HEADER = "x-fencing-number"
EVENT_MARKER = b"data:"
TOKEN_MARKER = b'"content"'
DONE_MARKER = b"data: [DONE]"
KEPT_LAST_BYTES = 4096
MAX_USAGE_BYTES = 1_048_576


class UpstreamRequest(records.Record):
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


def encode(work: actions.Dispatch) -> UpstreamRequest:
    """Return the HTTP request of an attempt; it holds no credential of the caller."""
    request = work.request
    headers = dict(request.headers)
    headers[REQUEST_ID_HEADER] = attempt_id(work)
    headers[PRIORITY_HEADER] = str(work.priority)
    body = request.body
    if request.kind == requests.CHAT:
        headers["content-type"] = "application/json"
        body = _with_output_limit(request.body, work.max_tokens)
    return UpstreamRequest(request.method, work.address + request.path, headers, body)


class AnswerMeter:
    """Counts the tokens of an answer and tells whether it is whole.

    Args:
        stream: Whether the answer is a stream of events.
        prompt_tokens: Prompt tokens as the gateway counts them.
    """

    __slots__ = ("stream", "prompt_tokens", "counted_tokens", "carried_bytes", "last_bytes", "body")

    def __init__(self, *, stream: bool, prompt_tokens: int) -> None:
        self.stream = stream
        self.prompt_tokens = prompt_tokens
        self.counted_tokens = 0
        self.carried_bytes = b""
        self.last_bytes = b""
        self.body = bytearray()

    def add(self, data: bytes) -> None:
        """Take in bytes of the answer."""
        if not self.stream:
            if len(self.body) < MAX_USAGE_BYTES:
                self.body += data
            return
        unscanned_bytes = self.carried_bytes + data
        self.counted_tokens += unscanned_bytes.count(TOKEN_MARKER)
        self.carried_bytes = unscanned_bytes[-len(TOKEN_MARKER) + 1 :]
        self.last_bytes = (self.last_bytes + data)[-KEPT_LAST_BYTES:]

    def is_complete(self) -> bool:
        """Return whether a stream came to its end; other answers are checked by their length."""
        return not self.stream or DONE_MARKER in self.last_bytes

    def usage(self) -> answers.Usage:
        """Return the tokens used, as the upstream says or as counted."""
        if self.stream:
            reported = self._reported_stream_tokens()
            counted = self.counted_tokens
        else:
            reported = _reported_output_tokens(bytes(self.body))
            counted = 0
        output = reported if reported is not None else counted
        return answers.Usage(self.prompt_tokens, output)

    def _reported_stream_tokens(self) -> int | None:
        events = [event for event in self.last_bytes.split(EVENT_MARKER) if b'"usage"' in event]
        return _reported_output_tokens(events[-1]) if events else None


def decode_load_report(upstream: str, data: typing.Any) -> peers.LoadReport:
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


def _reported_output_tokens(data: bytes) -> int | None:
    try:
        return int(json.loads(data)["usage"]["completion_tokens"])
    except (ValueError, KeyError, TypeError):
        return None


def _with_output_limit(body: bytes, max_tokens: int) -> bytes:
    """Return the body with the limit of the answer that was reserved."""
    data = json.loads(body)
    limit_field = "max_completion_tokens" if "max_completion_tokens" in data else "max_tokens"
    data[limit_field] = max_tokens
    return json.dumps(data, ensure_ascii=False).encode()
