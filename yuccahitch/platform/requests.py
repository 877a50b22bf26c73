"""Codec of the HTTP messages that the gateway exchanges with callers and upstreams."""

from __future__ import annotations

import json
import math
import typing
import urllib.parse

import xxhash

from yuccahitch import errors
from yuccahitch.codecs import prompt_parts
from yuccahitch.messages import actions, requests, upstream_notices
from yuccahitch.platform import names
from yuccahitch.resources import key

Headers = typing.Iterable[tuple[str, str]]

# Deadline of a request without a valid deadline header, in milliseconds.
DEFAULT_DEADLINE_MS = 60_000
# Statuses that guarantee the caller that its request has not run and never will.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# Statuses of errors that callers receive unchanged if the request did not run.
UNCHANGED_STATUSES = frozenset((400, 401, 404, 413, 429, 431))
# Status that replaces all others if the request did not run.
REFUSED_STATUS = 503
# Status of an upstream that is not the expected one.
MISDIRECTED_STATUS = 421
EVENT_STREAM_TYPE = "text/event-stream"
# Field that precedes the id of an event from which on other weights are used.
WEIGHTS_VERSION_FIELD = names.WEIGHTS_VERSION_HEADER
# Largest number of addresses that callers accept from the directory.
MAX_DIRECTORY_ADDRESSES = 64


def decode(
    *, method: str, path: str, headers: Headers, body: bytes, now: float, new_id: str
) -> requests.Request:
    """Decode a caller's request.

    Args:
        method: HTTP method.
        path: Path and query as the caller sent them.
        headers: Headers, as pairs of name and value.
        body: Body.
        now: Monotonic seconds.
        new_id: Request id to use when the headers hold none.
    """
    pairs = [(name, value) for name, value in headers]
    header_values = {name.lower(): value for name, value in pairs}
    connection_options = {
        option.strip().lower() for option in header_values.get("connection", "").split(",")
    }
    dropped_headers = names.GATEWAY_HEADERS | names.HOP_BY_HOP_HEADERS | connection_options
    prompt_tokens, max_tokens = _parse_token_counts(
        header_values.get(names.TOKEN_COUNTS_HEADER, "")
    )
    scheme, _, secret = header_values.get(names.AUTHORIZATION_HEADER, "").partition(" ")
    has_key = scheme == names.KEY_AUTH_SCHEME.strip() and secret
    return requests.Request(
        id=header_values.get(names.REQUEST_ID_HEADER) or new_id,
        kind=requests.PROXY,
        target=header_values.get("host", "").partition(":")[0].lower(),
        method=method,
        path=path,
        headers=tuple(pair for pair in pairs if pair[0].lower() not in dropped_headers),
        body=body,
        stream=True,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        prefix_hash=0,
        digest=xxhash.xxh64_hexdigest(b"%b\0%b" % (path.encode(), body)),
        key_digest=key.digest_of(secret.strip()) if has_key else "",
        operation_key="",
        deadline=now + _parse_deadline_ms(header_values.get(names.DEADLINE_HEADER, "")) / 1000,
        prompt_parts=_parse_prompt_parts(header_values.get(names.PROMPT_PARTS_HEADER, "")),
        resume_after=header_values.get(names.LAST_EVENT_ID_HEADER, ""),
        resumes=header_values.get(names.RESUMES_HEADER),
    )


def encode(work: actions.Dispatch, now: float) -> list[tuple[str, str]]:
    """Return the headers of a request to an upstream, as pairs of name and value.

    Args:
        work: The request with its upstream.
        now: Monotonic seconds, from which the time left until the attempt ends is computed.
    """
    request = work.request
    gateway_headers = [
        (names.EXPECTED_UPSTREAM_HEADER, work.upstream),
        (names.PRIORITY_HEADER, str(min(9, max(0, work.priority)))),
    ]
    if work.account:
        gateway_headers.append((names.ACCOUNT_HEADER, work.account))
    if work.give_up_at is not None:
        left_ms = max(1, int((work.give_up_at - now) * 1000))
        gateway_headers.append((names.DEADLINE_HEADER, str(left_ms)))
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        gateway_headers.append(("content-length", str(len(request.body))))
    if not any(name.lower() == names.REQUEST_ID_HEADER for name, _ in request.headers):
        gateway_headers.append((names.REQUEST_ID_HEADER, request.id))
    caller_headers = request.headers
    if request.resume_after:
        caller_headers = [
            pair for pair in caller_headers if pair[0].lower() != names.LAST_EVENT_ID_HEADER
        ]
        gateway_headers.append((names.LAST_EVENT_ID_HEADER, request.resume_after))
    return [*caller_headers, *gateway_headers]


def forwarded_answer_headers(headers: Headers) -> tuple[tuple[str, str], ...]:
    """Return the headers of an answer that are sent to the caller."""
    return tuple(pair for pair in headers if pair[0].lower() not in names.HOP_BY_HOP_HEADERS)


def echoed_request_id(headers: dict[str, str]) -> str | None:
    """Return the id of the request that an answer names, or None if it names none."""
    return headers.get(names.REQUEST_ID_HEADER)


def decode_notice(
    work: actions.Dispatch, status: int, headers: dict[str, str]
) -> upstream_notices.UpstreamNotice:
    """Return what the head of an answer says of the upstream that sent it.

    Args:
        work: The request with its upstream.
        status: HTTP status of the answer.
        headers: Header values by lower-case name.
    """
    return upstream_notices.UpstreamNotice(
        work.upstream,
        incarnation=work.incarnation,
        requests_per_s=_named_rate(headers, is_refusal=rejection_code(status, headers) is not None),
        leaving=headers.get(names.LEAVING_HEADER, "").strip() == "1",
        pause_s=_parse_pause_s(headers) if status == REFUSED_STATUS else 0.0,
        unreadable=_unreadable_statement(status, headers),
    )


def rejection_code(status: int, headers: dict[str, str]) -> errors.Code | None:
    """Return the error code for a request that an upstream did not run, or None if it ran it."""
    if status == MISDIRECTED_STATUS:
        return errors.Code.UPSTREAM_MOVED
    return errors.Code.UPSTREAM_SHED if names.NOT_EXECUTED_HEADER in headers else None


def is_success(status: int) -> bool:
    """Return whether a status tells that the request was answered with success."""
    return 200 <= status < 300


def describe_invalid_answer(status: int, headers: dict[str, str]) -> str:
    """Return why a complete answer can't be sent to the caller, or an empty string if it can."""
    if is_success(status) and names.SIGNATURE_HEADER not in headers:
        return "the successful answer lacks the x-response-signature header"
    if status in NOT_EXECUTED_STATUSES:
        return f"status {status} without the x-not-executed header"
    return ""


def encode_refusal(
    error: errors.GatewayError, *, request_id: str
) -> tuple[int, dict[str, str], bytes]:
    """Return the status, headers and body of an error response to a caller.

    A status that guarantees that the request did not run is never sent if it may have run.

    Args:
        error: The error.
        request_id: Id of the request, or empty when it has none.
    """
    status = error.code.status
    may_have_run = error.run is errors.RunStatus.MAY_HAVE_RUN
    if may_have_run and status != 504:
        status = 502
    elif not may_have_run and status not in UNCHANGED_STATUSES:
        status = REFUSED_STATUS
    headers = {"content-type": "application/json"}
    if request_id:
        headers[names.REQUEST_ID_HEADER] = request_id
    if error.retry_after is not None and status in NOT_EXECUTED_STATUSES:
        headers[names.RETRY_AFTER_HEADER] = f"{error.retry_after:.3f}"
    error_data = {
        "code": error.code.wire,
        "message": error.detail or error.code.meaning,
        "step": error.step,
        "run": error.run.value,
    }
    return status, headers, json.dumps({"error": error_data}).encode()


def parse_directory_query(path: str) -> tuple[str, str] | None:
    """Return the host and region in a directory request, or None if the path is another one."""
    url = urllib.parse.urlsplit(path)
    if url.path != names.DIRECTORY_PATH:
        return None
    query = dict(urllib.parse.parse_qsl(url.query))
    return query.get("name", "").lower(), query.get("region", "")


def encode_directory_answer(addresses: list[str], *, ttl_s: float) -> bytes:
    """Return the body of a directory response.

    Args:
        addresses: Addresses of the instances that the caller may use.
        ttl_s: Time for which the caller may cache them, in seconds.
    """
    return json.dumps({"addresses": addresses, "ttlS": ttl_s}).encode()


def _parse_deadline_ms(text: str) -> int:
    """Return the milliseconds in a deadline header, or the default if it is malformed."""
    return int(text) if text.isascii() and text.isdigit() else DEFAULT_DEADLINE_MS


def _named_rate(headers: dict[str, str], *, is_refusal: bool) -> float | None:
    """Return the request rate that an answer names, or None if it says nothing of it.

    A refusal without the header does not end a limit: it may come from a part of the upstream that
    does not know of it.
    """
    text = headers.get(names.RATE_LIMIT_HEADER)
    if text is None:
        return None if is_refusal else upstream_notices.UNLIMITED
    return _parse_non_negative(text)


def _unreadable_statement(status: int, headers: dict[str, str]) -> str:
    """Return the first header with a number that can't be read, with its value; or no text."""
    header_names = [names.RATE_LIMIT_HEADER]
    if status == REFUSED_STATUS:
        header_names.append(names.RETRY_AFTER_HEADER)
    unreadable = (
        f"{name}: {headers[name]}"
        for name in header_names
        if name in headers and _parse_non_negative(headers[name]) is None
    )
    return next(unreadable, "")


def _parse_pause_s(headers: dict[str, str]) -> float:
    """Return the seconds in a Retry-After header; 0 if there is none, or it holds a date."""
    return _parse_non_negative(headers.get(names.RETRY_AFTER_HEADER, "")) or 0.0


def _parse_non_negative(text: str) -> float | None:
    """Return a finite decimal number that is not negative, or None if the text is another one."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < math.inf else None


def _parse_token_counts(text: str) -> tuple[int, int]:
    """Return the prompt tokens and the output limit in a token count header."""
    prompt, _, output = text.partition(",")
    return _parse_token_count(prompt), _parse_token_count(output)


def _parse_prompt_parts(text: str) -> tuple[tuple[str, int], ...]:
    """Return the id and token count of each part in a prompt parts header."""
    pairs = (part.partition(":") for part in text.split(",") if part)
    return prompt_parts.bound(
        (name.strip(), _parse_token_count(tokens)) for name, _, tokens in pairs
    )


def _parse_token_count(text: str) -> int:
    """Return a token count of at most nine digits, or 0 if the text is another one."""
    text = text.strip()
    return int(text) if text.isascii() and text.isdigit() and len(text) < 10 else 0
