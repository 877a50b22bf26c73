"""Names of HTTP headers, store keys and URL paths on the users' platform."""

from __future__ import annotations

# Headers of requests and answers.
REQUEST_ID_HEADER = "x-request-id"
DEADLINE_HEADER = "x-deadline-ms"
SIGNATURE_HEADER = "x-response-signature"
# Client account that the request runs for, sent to the upstream.
ACCOUNT_HEADER = "x-tenant-id"
# Name of the upstream that the request is meant for.
EXPECTED_UPSTREAM_HEADER = "x-expected-instance"
# Present in an answer when the upstream did not run the request.
NOT_EXECUTED_HEADER = "x-not-executed"
RETRY_AFTER_HEADER = "retry-after"
# Requests a second that the upstream takes from all instances together.
RATE_LIMIT_HEADER = "server-limit"
# Present with value 1 in all answers of an upstream that is shutting down.
LEAVING_HEADER = "server-leaving"
# Parts of the prompt in their order, as ID:TOKENS pairs separated by commas.
PROMPT_PARTS_HEADER = "x-prefix-hash"
# Prompt tokens and output limit, separated by a comma.
TOKEN_COUNTS_HEADER = "x-token-usage"
PRIORITY_HEADER = "x-request-priority"
AUTHORIZATION_HEADER = "authorization"
# Authorization scheme of callers' keys.
KEY_AUTH_SCHEME = "Token "
LAST_EVENT_ID_HEADER = "last-event-id"
# Id of the request that brought the first event of a stream that is taken up.
RESUMES_HEADER = "resumes"
WEIGHTS_VERSION_HEADER = "x-weights-versions"

# Headers that only the gateway may set; those that a caller sends are dropped.
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
# Headers that apply to one connection and are never forwarded.
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

# Path at which an upstream reports its state.
UPSTREAM_REPORT_PATH = "/api/report"

# Path at which callers ask which instances to use.
DIRECTORY_PATH = "/api/resolve"

# Prefixes of the keys that operators write and of the entries of upstreams.
OPERATOR_PREFIX = "op/"
UPSTREAM_PREFIX = "servers/"
# Key of the configuration and prefix of the evacuated zones, both relative to OPERATOR_PREFIX.
PUBLICATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"

# Header of the store's replies: how often the store has been restored from an older copy.
STORE_ERA_HEADER = "store-era"
# Paths of the store's calls.
STORE_KEY_PATH = "/api/kv-key"
STORE_RANGE_PATH = "/api/kv-range"
STORE_WATCH_PATH = "/api/kv-watch"
STORE_COMMIT_PATH = "/api/kv-txn"
STORE_GRANT_LEASE_PATH = "/api/kv-lease"
STORE_KEEP_ALIVE_PATH = "/api/kv-keep/"
STORE_REVOKE_LEASE_PATH = "/api/kv-lease-end/"
