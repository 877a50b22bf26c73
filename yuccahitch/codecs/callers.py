"""Callers' HTTP requests, and refusals and errors as HTTP.

The key is replaced by its digest here: nothing behind this module ever holds a key.
"""

from __future__ import annotations

import json
import math
import typing
import uuid

import cerberus
import xxhash

from yuccahitch import errors
from yuccahitch.messages import requests
from yuccahitch.resources import key

STEP = "caller-codec"
BYTES_PER_TOKEN = 4
HASHED_PREFIX_BYTES = 512
MAX_REQUESTED_TOKENS = 1_000_000
MAX_IDEMPOTENCY_KEY_CHARACTERS = 256
OUTPUT_LIMIT_RULE = {"type": "integer", "min": 1, "max": MAX_REQUESTED_TOKENS, "nullable": True}
CHAT_SCHEMA = {
    "model": {"type": "string", "required": True, "empty": False},
    "messages": {"type": "list", "required": True, "schema": {"type": "dict"}},
    "max_tokens": OUTPUT_LIMIT_RULE,
    "max_completion_tokens": OUTPUT_LIMIT_RULE,
    "stream": {"type": "boolean", "nullable": True},
}
DEADLINE_HEADER = "x-deadline-seconds"
REQUEST_ID_HEADER = "x-request-id"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
FORWARDED_REQUEST_HEADERS = frozenset(
    ("accept", "accept-language", "content-type", "user-agent", "traceparent", "tracestate")
)
FORWARDED_ANSWER_HEADERS = frozenset(("content-type", "cache-control", "content-language", "etag"))

Headers = typing.Mapping[str, str]


def parse_chat_request(
    headers: Headers, body: bytes, *, now: float, default_deadline: float
) -> requests.Request:
    """Read a chat completion request.

    Args:
        headers: The caller's headers, with names that compare without case.
        body: The body.
        now: Monotonic seconds.
        default_deadline: Deadline without a header, in seconds.

    Raises:
        errors.GatewayError: ``body-invalid`` when the body can't be used.
    """
    data = _parse_chat_body(body)
    messages = json.dumps(data["messages"], ensure_ascii=False).encode()
    return requests.Request(
        id=_new_request_id(),
        kind=requests.CHAT,
        target=data["model"],
        method="POST",
        path="/v1/chat/completions",
        headers=forwarded_request_headers(headers),
        body=body,
        stream=data.get("stream") is True,
        prompt_tokens=math.ceil(len(messages) / BYTES_PER_TOKEN),
        max_tokens=_requested_tokens(data),
        prefix_hash=xxhash.xxh64_intdigest(data["model"].encode() + messages[:HASHED_PREFIX_BYTES]),
        digest=_content_digest(data["model"], "", body),
        key_digest=key_digest(headers),
        operation_key=_parse_idempotency_key(headers),
        deadline=now + _parse_deadline(headers, default_deadline),
    )


def parse_plain_request(
    headers: Headers,
    body: bytes,
    *,
    service: str,
    method: str,
    path: str,
    now: float,
    default_deadline: float,
) -> requests.Request:
    """Read a request to a plain service."""
    return requests.Request(
        id=_new_request_id(),
        kind=requests.CALL,
        target=service,
        method=method,
        path=path,
        headers=forwarded_request_headers(headers),
        body=body,
        stream=False,
        prompt_tokens=0,
        max_tokens=0,
        prefix_hash=0,
        digest=_content_digest(service, f"{method} {path}", body),
        key_digest=key_digest(headers),
        operation_key=_parse_idempotency_key(headers),
        deadline=now + _parse_deadline(headers, default_deadline),
    )


def key_digest(headers: Headers) -> str:
    """Return the digest of the key in the headers, or no text without one."""
    scheme, _, secret = headers.get("authorization", "").partition(" ")
    if not secret:
        return ""
    if scheme.lower() != "bearer":
        raise _refusal(errors.Code.KEY_UNKNOWN, "the Authorization header is not a bearer key")
    return key.digest_of(secret.strip())


def forwarded_request_headers(headers: Headers) -> tuple[tuple[str, str], ...]:
    """Return the headers that upstreams may see; a list of known ones, so no key gets through."""
    return tuple(
        (name.lower(), value)
        for name, value in headers.items()
        if name.lower() in FORWARDED_REQUEST_HEADERS
    )


def forwarded_answer_headers(headers: Headers) -> tuple[tuple[str, str], ...]:
    """Return the headers of an upstream's answer that callers see."""
    return tuple(
        (name.lower(), value)
        for name, value in headers.items()
        if name.lower() in FORWARDED_ANSWER_HEADERS
    )


def encode_error_body(error: errors.GatewayError, *, request_id: str, operation: str = "") -> bytes:
    """Return an error as JSON in the form that OpenAI clients read."""
    content: dict[str, typing.Any] = {
        "message": error.detail or error.code.meaning,
        "type": "yuccahitch_error",
        "code": error.code.wire,
        "step": error.step,
        "peer": error.peer,
        "run": error.run.value,
        "request_id": request_id,
    }
    if operation:
        content["operation"] = operation
    if error.retry_after is not None:
        content["retry_after_s"] = round(error.retry_after, 3)
    return json.dumps({"error": content}).encode()


def error_headers(error: errors.GatewayError, *, request_id: str) -> dict[str, str]:
    """Return the headers of an error's response."""
    headers = {
        "content-type": "application/json",
        REQUEST_ID_HEADER: request_id,
        "x-run": error.run.value,
    }
    if error.retry_after is not None:
        headers["retry-after"] = str(max(1, math.ceil(error.retry_after)))
    if error.run is errors.RunStatus.MAY_HAVE_RUN:
        headers["x-should-retry"] = "false"
    return headers


def encode_error_event(error: errors.GatewayError, *, request_id: str) -> bytes:
    """Return an error as the last event of a stream that was cut."""
    return b"event: error\ndata: " + encode_error_body(error, request_id=request_id) + b"\n\n"


def _parse_chat_body(body: bytes) -> dict[str, typing.Any]:
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _refusal(errors.Code.BODY_INVALID, "the body is not JSON") from error
    if type(data) is not dict:
        raise _refusal(errors.Code.BODY_INVALID, "the body is not a JSON object")
    validator = cerberus.Validator(CHAT_SCHEMA, allow_unknown=True)
    if not validator.validate(data):
        raise _refusal(errors.Code.BODY_INVALID, json.dumps(validator.errors, sort_keys=True))
    return data


def _requested_tokens(data: dict[str, typing.Any]) -> int:
    return data.get("max_completion_tokens") or data.get("max_tokens") or 0


def _parse_deadline(headers: Headers, default: float) -> float:
    header_value = headers.get(DEADLINE_HEADER)
    if header_value is None:
        return default
    try:
        seconds = float(header_value)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= 86400:
        raise _refusal(errors.Code.BODY_INVALID, f"{DEADLINE_HEADER} must be from 0 to 86400")
    return seconds


def _parse_idempotency_key(headers: Headers) -> str:
    header_value = headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if len(header_value) > MAX_IDEMPOTENCY_KEY_CHARACTERS or not header_value.isprintable():
        raise _refusal(
            errors.Code.OPERATION_INVALID,
            f"Idempotency-Key holds at most {MAX_IDEMPOTENCY_KEY_CHARACTERS} printable characters",
        )
    return header_value


def _content_digest(target: str, path: str, body: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(f"{target}\0{path}\0".encode() + body)


def _new_request_id() -> str:
    return f"r-{uuid.uuid4().hex}"


def _refusal(code: errors.Code, detail: str) -> errors.GatewayError:
    return errors.GatewayError(code, step=STEP, detail=detail)
