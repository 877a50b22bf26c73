"""Names of headers, calls and keys on the users' platform."""

from __future__ import annotations

REQUEST_ID_HEADER = "x-request-id"
DEADLINE_HEADER = "x-deadline-ms"
SIGNATURE_HEADER = "x-response-signature"
# The client account that a request runs for, as the upstream is told.
ACCOUNT_HEADER = "x-tenant-id"
EXPECTED_UPSTREAM_HEADER = "x-expected-instance"
NOT_EXECUTED_HEADER = "x-not-executed"
RETRY_AFTER_HEADER = "retry-after"
# Parts of the prompt in their order, as ID:TOKENS pairs.
PROMPT_PARTS_HEADER = "x-prefix-hash"
# Prompt tokens and the limit of the answer.
TOKEN_COUNTS_HEADER = "x-token-usage"
PRIORITY_HEADER = "x-request-priority"
AUTHORIZATION_HEADER = "authorization"
KEY_AUTH_SCHEME = "Token "
LAST_EVENT_ID_HEADER = "last-event-id"

# Headers that only the gateway may set: a caller's own are dropped.
GATEWAY_HEADERS = frozenset(
    (
        ACCOUNT_HEADER,
        EXPECTED_UPSTREAM_HEADER,
        PRIORITY_HEADER,
        DEADLINE_HEADER,
        AUTHORIZATION_HEADER,
        "x-expected-version",
        "x-pin-ms",
        "x-hold",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
    )
)
# Headers that concern one connection alone.
HOP_BY_HOP_HEADERS = frozenset(
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

DIRECTORY_PATH = "/api/resolve"

OPERATOR_PREFIX = "op/"
UPSTREAM_PREFIX = "servers/"
# Both under OPERATOR_PREFIX.
PUBLICATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"

STORE_KEY_PATH = "/api/kv-key"
STORE_RANGE_PATH = "/api/kv-range"
WATCH_PATH = "/api/kv-watch"
STORE_COMMIT_PATH = "/api/kv-txn"
STORE_GRANT_LEASE_PATH = "/api/kv-lease"
STORE_KEEP_ALIVE_PATH = "/api/kv-keep/"
STORE_REVOKE_LEASE_PATH = "/api/kv-lease-end/"
