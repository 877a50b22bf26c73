"""Requests and answers as callers, upstreams and the gateway exchange them."""

from __future__ import annotations

import json
import typing
import urllib.parse

import xxhash

from yuccahitch import errors
from yuccahitch.messages import actions, requests
from yuccahitch.platform import names
from yuccahitch.resources import key

Headers = typing.Iterable[tuple[str, str]]

DEFAULT_DEADLINE_MS = 60_000
# Statuses that promise a caller that its request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))
PASSED_STATUSES = frozenset((400, 401, 404, 413, 429, 431))
NOT_RUN_STATUS = 503
MISDIRECTED_STATUS = 421
EVENT_STREAM = "text/event-stream"
# Most addresses that callers take from the directory.
MAX_ADDRESSES = 64


def decode(
    *, method: str, path: str, headers: Headers, body: bytes, now: float, new_id: str
) -> requests.Request:
    """Read a caller's request.

    Args:
        method: Its method.
        path: Path and query as they were sent.
        headers: Its headers.
        body: Its body.
        now: Monotonic seconds.
        new_id: Id for a request that brings none.
    """
    pairs = [(name, value) for name, value in headers]
    found = {name.lower(): value for name, value in pairs}
    named = {word.strip().lower() for word in found.get("connection", "").split(",")}
    dropped = names.OWN_HEADERS | names.CONNECTION_HEADERS | named
    prompt_tokens, max_tokens = _token_counts(found.get(names.TOKEN_COUNTS, ""))
    scheme, _, secret = found.get(names.AUTHORIZATION, "").partition(" ")
    keyed = scheme == names.KEY_SCHEME.strip() and secret
    return requests.Request(
        id=found.get(names.REQUEST_ID) or new_id,
        kind=requests.PROXY,
        target=found.get("host", "").partition(":")[0].lower(),
        method=method,
        path=path,
        headers=tuple(pair for pair in pairs if pair[0].lower() not in dropped),
        body=body,
        stream=True,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        prefix_hash=0,
        digest=xxhash.xxh64_hexdigest(b"%b\0%b" % (path.encode(), body)),
        key_digest=key.digest_of(secret.strip()) if keyed else "",
        operation_key="",
        deadline=now + _milliseconds(found.get(names.DEADLINE_MS, "")) / 1000,
        prompt_parts=_prompt_parts(found.get(names.PROMPT_PARTS, "")),
        resume_after=found.get(names.LAST_EVENT_ID, ""),
    )


def encode(work: actions.Dispatch, now: float) -> list[tuple[str, str]]:
    """Return the headers of a request as its upstream gets it."""
    request = work.request
    own = [
        (names.EXPECTED_UPSTREAM, work.upstream),
        (names.PRIORITY, str(min(9, max(0, work.priority)))),
    ]
    if work.account:
        own.append((names.ACCOUNT, work.account))
    if work.give_up_at is not None:
        left_ms = max(1, int((work.give_up_at - now) * 1000))
        own.append((names.DEADLINE_MS, str(left_ms)))
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        own.append(("content-length", str(len(request.body))))
    if not any(name.lower() == names.REQUEST_ID for name, _ in request.headers):
        own.append((names.REQUEST_ID, request.id))
    kept = request.headers
    if request.resume_after:
        kept = [pair for pair in kept if pair[0].lower() != names.LAST_EVENT_ID]
        own.append((names.LAST_EVENT_ID, request.resume_after))
    return [*kept, *own]


def answer_headers(headers: Headers) -> tuple[tuple[str, str], ...]:
    """Return the headers of an answer that are passed on."""
    return tuple(pair for pair in headers if pair[0].lower() not in names.CONNECTION_HEADERS)


def answers_request(request_id: str, status: int, headers: dict[str, str]) -> bool:
    """Return whether an answer belongs to a request; refusals may come without its id."""
    echoed = headers.get(names.REQUEST_ID)
    return echoed == request_id or (echoed is None and status >= 300)


def rejected(status: int, headers: dict[str, str]) -> errors.Code | None:
    """Return why an upstream did not run a request, or None when it ran it."""
    if status == MISDIRECTED_STATUS:
        return errors.Code.UPSTREAM_MOVED
    return errors.Code.UPSTREAM_SHED if names.NOT_RUN in headers else None


def broken(status: int, headers: dict[str, str]) -> str:
    """Return why an answer can't be passed on although it is whole, or no text."""
    if 200 <= status < 300 and names.SIGNATURE not in headers:
        return "a success without a signature"
    if status in PROMISES:
        return f"status {status} without the word that the request did not run"
    return ""


def refusal(error: errors.GatewayError, *, request_id: str) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body of an own refusal; its status never promises too much."""
    status = error.code.status
    may_have_run = error.run is errors.RunStatus.MAY_HAVE_RUN
    if may_have_run and status != 504:
        status = 502
    elif not may_have_run and status not in PASSED_STATUSES:
        status = NOT_RUN_STATUS
    headers = {"content-type": "application/json"}
    if request_id:
        headers[names.REQUEST_ID] = request_id
    if error.retry_after is not None and status in PROMISES:
        headers[names.RETRY_AFTER] = f"{error.retry_after:.3f}"
    told = {
        "code": error.code.wire,
        "message": error.detail or error.code.meaning,
        "step": error.step,
        "run": error.run.value,
    }
    return status, headers, json.dumps({"error": told}).encode()


def directory_question(path: str) -> tuple[str, str] | None:
    """Return host and region of a caller that asks the directory, or None for another path."""
    url = urllib.parse.urlsplit(path)
    if url.path != names.RESOLVE_PATH:
        return None
    query = dict(urllib.parse.parse_qsl(url.query))
    return query.get("name", "").lower(), query.get("region", "")


def directory_answer(addresses: list[str], *, ttl_s: float) -> bytes:
    """Return the body that tells callers which instances to use."""
    return json.dumps({"addresses": addresses, "ttlS": ttl_s}).encode()


def _milliseconds(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() else DEFAULT_DEADLINE_MS


def _token_counts(text: str) -> tuple[int, int]:
    prompt, _, output = text.partition(",")
    return _count(prompt), _count(output)


def _prompt_parts(text: str) -> tuple[tuple[str, int], ...]:
    pairs = (part.partition(":") for part in text.split(",") if part)
    return tuple((name.strip(), _count(tokens)) for name, _, tokens in pairs)


def _count(text: str) -> int:
    text = text.strip()
    return int(text) if text.isascii() and text.isdigit() and len(text) < 10 else 0
