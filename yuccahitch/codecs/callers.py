"""Decodes callers' HTTP requests and encodes errors as HTTP responses.

Keys are replaced by their digests here, so no later step ever sees a key.
"""

from __future__ import annotations

import json
import math
import typing
import uuid

import cerberus
import xxhash

from yuccahitch import errors
from yuccahitch.codecs import prompt_parts
from yuccahitch.messages import requests
from yuccahitch.resources import key

STEP = "caller-codec"
# Estimate of the length of a prompt token, in bytes of JSON.
BYTES_PER_TOKEN = 4
# Length of the start of the messages that is hashed for cache affinity, in bytes of JSON.
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
    """Decode a chat completion request.

    Args:
        headers: Headers of the request; their names compare without case.
        body: Body of the request.
        now: Monotonic seconds.
        default_deadline: Seconds until the deadline when no header sets one.

    Raises:
        errors.GatewayError: ``body-invalid`` when the body or the deadline is malformed,
            ``key-unknown`` or ``operation-invalid`` when a header is malformed.
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
        prompt_parts=_prompt_parts(data),
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
    """Decode a request to a plain service, or to a route by host and path.

    Args:
        headers: Headers of the request; their names compare without case.
        body: Body of the request.
        service: Service or host that the caller names.
        method: HTTP method for the upstream.
        path: Path and query for the upstream.
        now: Monotonic seconds.
        default_deadline: Seconds until the deadline when no header sets one.

    Raises:
        errors.GatewayError: ``body-invalid`` when the deadline is malformed, ``key-unknown`` or
            ``operation-invalid`` when another header is.
    """
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


def _prompt_parts(data: dict[str, typing.Any]) -> tuple[tuple[str, int], ...]:
    """Return a part for each message of a chat: a hash of it, and its length in tokens."""
    encoded_messages = [
        json.dumps(message, ensure_ascii=False, sort_keys=True).encode()
        for message in data["messages"]
    ]
    return prompt_parts.bound(
        (xxhash.xxh64_hexdigest(message), math.ceil(len(message) / BYTES_PER_TOKEN))
        for message in encoded_messages
    )


def key_digest(headers: Headers) -> str:
    """Return the digest of the key in the Authorization header, or an empty string without one.

    Raises:
        errors.GatewayError: ``key-unknown`` when the header holds no bearer key.
    """
    scheme, _, secret = headers.get("authorization", "").partition(" ")
    if not secret:
        return ""
    if scheme.lower() != "bearer":
        raise _refusal(
            errors.Code.KEY_UNKNOWN, "the Authorization header must have the form: Bearer KEY"
        )
    return key.digest_of(secret.strip())


def forwarded_request_headers(headers: Headers) -> tuple[tuple[str, str], ...]:
    """Return the request headers for the upstream; only listed ones, so that no key is sent."""
    return tuple(
        (name.lower(), value)
        for name, value in headers.items()
        if name.lower() in FORWARDED_REQUEST_HEADERS
    )


def forwarded_answer_headers(headers: Headers) -> tuple[tuple[str, str], ...]:
    """Return the headers of an upstream's answer that are sent to the caller."""
    return tuple(
        (name.lower(), value)
        for name, value in headers.items()
        if name.lower() in FORWARDED_ANSWER_HEADERS
    )


def encode_error_body(error: errors.GatewayError, *, request_id: str, operation: str = "") -> bytes:
    """Return an error as JSON in the format of the OpenAI API.

    Args:
        error: The error.
        request_id: Id of the request, or empty when it has none yet.
        operation: State of the request's idempotency key, or empty.
    """
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


def encode_error_headers(error: errors.GatewayError, *, request_id: str) -> dict[str, str]:
    """Return the headers of an error response."""
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
    """Return an error as the last server-sent event of a stream that broke off."""
    return b"event: error\ndata: " + encode_error_body(error, request_id=request_id) + b"\n\n"


def _parse_chat_body(body: bytes) -> dict[str, typing.Any]:
    """Return the JSON object of a chat request, checked against ``CHAT_SCHEMA``."""
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
    """Return the output limit of a chat request in tokens, or 0 without one."""
    return data.get("max_completion_tokens") or data.get("max_tokens") or 0


def _parse_deadline(headers: Headers, default: float) -> float:
    """Return the seconds until the deadline that the headers or the default set."""
    header_value = headers.get(DEADLINE_HEADER)
    if header_value is None:
        return default
    try:
        seconds = float(header_value)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds <= 86400:
        raise _refusal(
            errors.Code.BODY_INVALID, f"{DEADLINE_HEADER} must be over 0 and at most 86400 seconds"
        )
    return seconds


def _parse_idempotency_key(headers: Headers) -> str:
    """Return the idempotency key, or an empty string without one."""
    header_value = headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if len(header_value) > MAX_IDEMPOTENCY_KEY_CHARACTERS or not header_value.isprintable():
        raise _refusal(
            errors.Code.OPERATION_INVALID,
            "Idempotency-Key must hold at most "
            f"{MAX_IDEMPOTENCY_KEY_CHARACTERS} printable characters",
        )
    return header_value


def _content_digest(target: str, path: str, body: bytes) -> str:
    """Return the hash by which repeats of a request are told from other requests."""
    return xxhash.xxh3_128_hexdigest(f"{target}\0{path}\0".encode() + body)


def _new_request_id() -> str:
    return f"r-{uuid.uuid4().hex}"


def _refusal(code: errors.Code, detail: str) -> errors.GatewayError:
    return errors.GatewayError(code, step=STEP, detail=detail)
