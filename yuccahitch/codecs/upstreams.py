"""Encodes requests to upstreams and counts the tokens of their answers."""

from __future__ import annotations

import json
import re
import typing

from yuccahitch import records
from yuccahitch.messages import actions, answers, peers, requests, upstream_notices

REQUEST_ID_HEADER = "x-request-id"
PRIORITY_HEADER = "x-priority"
FENCING_HEADER = "x-fencing-number"
# Present with value 1 in all answers of an upstream that is shutting down.
LEAVING_HEADER = "x-leaving"
RETRY_AFTER_HEADER = "retry-after"
# Status of a refusal whose Retry-After tells how long the upstream wants no requests.
BUSY_STATUS = 503
# Digits of Retry-After that are read.
MAX_PAUSE_DIGITS = 9
# Start of each server-sent event of a stream.
EVENT_MARKER = b"data:"
# Occurs once in each event that carries a token.
TOKEN_MARKER = b'"content"'
# Length of the end of a stream that is kept to find the usage and the last event.
KEPT_LAST_BYTES = 4096
# The output tokens that an answer reports if it is not a stream. The quotes in the text of the
# answer are escaped, so the text never matches.
REPORTED_TOKENS = re.compile(rb'"completion_tokens"\s*:\s*(\d{1,9})')
# Bytes that are scanned again with the next ones, as a report may have begun in them.
CARRIED_BYTES = 64


class UpstreamRequest(records.Record):
    """An HTTP request to an upstream.

    Attributes:
        method: HTTP method.
        url: Complete URL.
        headers: Headers by name.
        body: Body, or no bytes.
    """

    __slots__ = ("method", "url", "headers", "body")

    def __init__(self, method: str, url: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.url = url
        self.headers = headers
        self.body = body


def attempt_id(work: actions.Dispatch) -> str:
    """Return the request id sent upstream, which matches the answer to its attempt."""
    return f"{work.request.id}.{work.attempt}"


def encode(work: actions.Dispatch) -> UpstreamRequest:
    """Encode the HTTP request of an attempt, without the caller's credentials."""
    request = work.request
    headers = dict(request.headers)
    headers[REQUEST_ID_HEADER] = attempt_id(work)
    headers[PRIORITY_HEADER] = str(work.priority)
    body = request.body
    if request.kind == requests.CHAT:
        headers["content-type"] = "application/json"
        body = _with_output_limit(request.body, work.max_tokens)
    return UpstreamRequest(request.method, work.address + request.path, headers, body)


def decode_notice(
    work: actions.Dispatch, status: int, headers: typing.Mapping[str, str]
) -> upstream_notices.UpstreamNotice:
    """Return what the head of an answer says of the upstream that sent it."""
    # A header that holds a date asks for no pause.
    pause_text = headers.get(RETRY_AFTER_HEADER, "")[:MAX_PAUSE_DIGITS]
    is_pause = status == BUSY_STATUS and pause_text.isascii() and pause_text.isdigit()
    return upstream_notices.UpstreamNotice(
        work.upstream,
        leaving=headers.get(LEAVING_HEADER, "").strip() == "1",
        pause_s=float(pause_text) if is_pause else 0.0,
    )


class AnswerMeter:
    """Counts the tokens of an answer.

    Args:
        stream: Whether the answer is a stream of server-sent events.
        prompt_tokens: Prompt tokens as the gateway counts them.

    Attributes:
        counted_tokens: Events with a token so far, in a stream.
        reported_tokens: Output tokens reported so far, if it is not a stream, or None.
        carried_bytes: Last bytes scanned, where a token marker or a report may have begun.
        last_bytes: End of the stream so far, at most ``KEPT_LAST_BYTES``.
    """

    __slots__ = (
        "stream",
        "prompt_tokens",
        "counted_tokens",
        "reported_tokens",
        "carried_bytes",
        "last_bytes",
    )

    def __init__(self, *, stream: bool, prompt_tokens: int) -> None:
        self.stream = stream
        self.prompt_tokens = prompt_tokens
        self.counted_tokens = 0
        self.reported_tokens: int | None = None
        self.carried_bytes = b""
        self.last_bytes = b""

    def add(self, data: bytes) -> None:
        """Process the next bytes of the answer."""
        bytes_to_scan = self.carried_bytes + data
        if not self.stream:
            self.carried_bytes = bytes_to_scan[-CARRIED_BYTES:]
            for match in REPORTED_TOKENS.finditer(bytes_to_scan):
                self.reported_tokens = int(match[1])
            return
        self.counted_tokens += bytes_to_scan.count(TOKEN_MARKER)
        self.carried_bytes = bytes_to_scan[-len(TOKEN_MARKER) + 1 :]
        self.last_bytes = (self.last_bytes + data)[-KEPT_LAST_BYTES:]

    def usage(self) -> answers.Usage:
        """Return the tokens used, as the upstream reports them, else as counted."""
        reported = self._reported_stream_tokens() if self.stream else self.reported_tokens
        output = reported if reported is not None else self.counted_tokens
        return answers.Usage(self.prompt_tokens, output)

    def _reported_stream_tokens(self) -> int | None:
        """Return the output tokens that the last usage event reports, or None without one."""
        events = [event for event in self.last_bytes.split(EVENT_MARKER) if b'"usage"' in event]
        return _reported_output_tokens(events[-1]) if events else None


def decode_load_report(upstream: str, data: typing.Any) -> peers.LoadReport:
    """Decode an engine's load report.

    Raises:
        KeyError: When a field is missing.
        TypeError: When the report is not an object.
        ValueError: When a field is not a number.
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
    """Return the output tokens that the JSON reports, or None if it reports none."""
    try:
        return int(json.loads(data)["usage"]["completion_tokens"])
    except (ValueError, KeyError, TypeError):
        return None


def _with_output_limit(body: bytes, max_tokens: int) -> bytes:
    """Return the body with its output limit set to the tokens reserved for the request."""
    data = json.loads(body)
    limit_field = "max_completion_tokens" if "max_completion_tokens" in data else "max_tokens"
    data[limit_field] = max_tokens
    return json.dumps(data, ensure_ascii=False).encode()
