"""Errors with codes, each with the step and the peer where it occurred."""

from __future__ import annotations

import enum
import typing

from yuccahitch.messages import suspects


class RunStatus(enum.Enum):
    """Whether an upstream may have run the request."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class Code(enum.Enum):
    """Error codes, each with its wire name, HTTP status and meaning."""

    KEY_MISSING = ("key-missing", 401, "The request has no key and its route is not open.")
    KEY_UNKNOWN = ("key-unknown", 401, "The key is malformed, unknown or withdrawn.")
    ACCOUNT_CLOSED = ("account-closed", 403, "The client account is closed in the directory.")
    OPERATOR_UNKNOWN = ("operator-unknown", 401, "The operator token is missing or wrong.")
    ROUTE_UNKNOWN = ("route-unknown", 404, "No route serves this model, service or path.")
    ROUTE_FORBIDDEN = ("route-forbidden", 403, "The route does not serve this client account.")
    BODY_INVALID = ("body-invalid", 400, "The body is not JSON or has a wrong type.")
    BODY_TOO_LARGE = ("body-too-large", 413, "The body is larger than the limit.")
    HEADERS_TOO_LARGE = ("headers-too-large", 431, "There are too many headers, or too large ones.")
    RESIDENCY = ("residency", 403, "No region where the data may reside can serve the request.")
    LOOP = ("loop", 508, "A forwarded request would be forwarded again.")
    RATE_EXCEEDED = ("rate-exceeded", 429, "The client account's rate and burst are used up.")
    RATE_UNAVAILABLE = (
        "rate-unavailable",
        503,
        "The instance can't determine whether the client account's rate allows the request.",
    )
    TOO_LARGE_FOR_BURST = (
        "too-large-for-burst",
        413,
        "The request needs more tokens than the burst.",
    )
    NO_UPSTREAM = ("no-upstream", 503, "No upstream that may serve the request is available.")
    OVERLOADED = ("overloaded", 503, "The request can't be served before its deadline.")
    DEADLINE = ("deadline", 504, "The deadline passed before the answer began.")
    UPSTREAM_FAILED = ("upstream-failed", 502, "The upstream failed or sent a broken answer.")
    UPSTREAM_REFUSED = ("upstream-refused", 502, "No connection to the upstream can be opened.")
    UPSTREAM_SHED = (
        "upstream-shed",
        503,
        "The upstream is at capacity and did not run the request.",
    )
    UPSTREAMS_LIMITED = (
        "upstreams-limited",
        503,
        "The upstreams of the service take no further requests at present.",
    )
    NOT_ADMITTED = (
        "not-admitted",
        503,
        "The service is short of places in this region and admits more urgent requests first.",
    )
    UPSTREAMS_FULL = (
        "upstreams-full",
        503,
        "No upstream of the service has the memory for the request at present.",
    )
    UPSTREAM_MOVED = ("upstream-moved", 503, "Another upstream answers at this upstream's address.")
    UPSTREAM_REPLACED = (
        "upstream-replaced",
        503,
        "The upstream at the address is not known to have the software version of its entry.",
    )
    ANSWER_CUT = ("answer-cut", 502, "The answer ended before it was complete.")
    CALLER_SLOW = (
        "caller-slow",
        502,
        "The answer was given up, as the caller read it slowly while memory was short.",
    )
    RESUMPTION_INVALID = (
        "resumption-invalid",
        400,
        "The id of the request that began the stream is malformed.",
    )
    ORIGIN_UNKNOWN = (
        "origin-unknown",
        503,
        "It is not known which software version began the stream; no other may go on with it.",
    )
    ORIGIN_GONE = (
        "origin-gone",
        503,
        "No upstream of the software version that began the stream is available.",
    )
    REQUEST_ID_IN_USE = (
        "request-id-in-use",
        409,
        "The request id belongs to another open request.",
    )
    PEER_FAILED = ("peer-failed", 502, "The instance in the other region failed.")
    PEER_UNREACHABLE = ("peer-unreachable", 503, "No instance in an allowed region is reachable.")
    PEER_INVALID = ("peer-invalid", 400, "A peer sent a message that can't be read.")
    OPERATION_INVALID = (
        "operation-invalid",
        400,
        "The idempotency key is malformed, wrongly signed or another client account's.",
    )
    OPERATION_EXPIRED = ("operation-expired", 410, "The idempotency key is past its lifetime.")
    OPERATION_MISMATCH = (
        "operation-mismatch",
        422,
        "The idempotency key was used before with another request.",
    )
    OPERATION_RUNNING = ("operation-running", 409, "A request with this key is still running.")
    OPERATION_UNSETTLED = (
        "operation-unsettled",
        409,
        "A request with this key was started and its outcome is unknown.",
    )
    CLAIM_UNAVAILABLE = (
        "claim-unavailable",
        503,
        "The store can't record the idempotency key; use a key from /v1/operations.",
    )
    POISON = (
        "poison",
        422,
        "The request or a part of its prompt crashed several upstreams; it is refused.",
    )
    DRAINING = ("draining", 503, "The instance is shutting down.")
    NOT_READY = ("not-ready", 503, "The instance holds no configuration yet.")
    RESOURCE_INVALID = ("resource-invalid", 400, "The resource is malformed.")
    RESOURCE_STALE = ("resource-stale", 409, "The resource has a newer version.")
    RESOURCE_UNKNOWN = ("resource-unknown", 404, "There is no such resource.")
    RESOURCE_CONFLICT = (
        "resource-conflict",
        409,
        "The resource refers to one that does not exist.",
    )
    STORE_UNAVAILABLE = ("store-unavailable", 503, "The store does not answer.")
    STORE_UNSETTLED = (
        "store-unsettled",
        504,
        "The store's reply to a write was lost; its outcome is unknown.",
    )
    ORDER_REFUSED = ("order-refused", 409, "The order can't be sent to the engine at the moment.")
    SETTINGS_INVALID = ("settings-invalid", 500, "The settings are not valid.")
    INTERNAL = ("internal", 500, "An internal error of the gateway.")

    def __init__(self, wire: str, status: int, meaning: str) -> None:
        self.wire = wire
        self.status = status
        self.meaning = meaning


BY_WIRE = {code.wire: code for code in Code}


class GatewayError(Exception):
    """A refused or failed request, with its code, step and peer.

    Args:
        code: Error code.
        step: Name of the filter, controller or task where the error occurred.
        peer: Instance, upstream or service involved, or this instance.
        detail: One sentence for the caller or operator; never contains a secret.
        run: Whether an upstream may have run the request.
        retry_after: Time after which a retry may succeed, in seconds, or None.
        crashes: Crashes of upstreams that worked on a forwarded request where it was refused.
    """

    def __init__(
        self,
        code: Code,
        *,
        step: str,
        peer: str = "",
        detail: str = "",
        run: RunStatus = RunStatus.NOT_RUN,
        retry_after: float | None = None,
        crashes: typing.Iterable[suspects.CrashReport] = (),
    ) -> None:
        super().__init__(f"{code.wire} at {step} ({peer}): {detail or code.meaning}")
        self.code = code
        self.step = step
        self.peer = peer
        self.detail = detail
        self.run = run
        self.retry_after = retry_after
        self.crashes = tuple(crashes)
