"""Names of headers, calls and keys on the users' platform."""

from __future__ import annotations

REQUEST_ID = "x-request-id"
DEADLINE_MS = "x-deadline-ms"
SIGNATURE = "x-response-signature"
# The client account that a request runs for, as the upstream is told.
ACCOUNT = "x-tenant-id"
EXPECTED_UPSTREAM = "x-expected-instance"
NOT_RUN = "x-not-executed"
RETRY_AFTER = "retry-after"
# Parts of the prompt in their order, as ID:TOKENS pairs.
PROMPT_PARTS = "x-prefix-hash"
# Prompt tokens and the limit of the answer.
TOKEN_COUNTS = "x-token-usage"
PRIORITY = "x-request-priority"
AUTHORIZATION = "authorization"
KEY_SCHEME = "Token "
LAST_EVENT_ID = "last-event-id"

# Headers that only the gateway may set: a caller's own are dropped.
OWN_HEADERS = frozenset(
    (
        ACCOUNT,
        EXPECTED_UPSTREAM,
        PRIORITY,
        DEADLINE_MS,
        AUTHORIZATION,
        "x-expected-version",
        "x-pin-ms",
        "x-hold",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
    )
)
# Headers that concern one connection alone.
CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    )
)

RESOLVE_PATH = "/api/resolve"

OPERATOR_PREFIX = "op/"
UPSTREAM_PREFIX = "servers/"
# Both under OPERATOR_PREFIX.
PUBLICATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"

KEY_PATH = "/api/kv-key"
RANGE_PATH = "/api/kv-range"
WATCH_PATH = "/api/kv-watch"
COMMIT_PATH = "/api/kv-txn"
LEASE_PATH = "/api/kv-lease"
KEEP_PATH = "/api/kv-keep/"
END_PATH = "/api/kv-lease-end/"
