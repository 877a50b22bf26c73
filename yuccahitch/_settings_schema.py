"""The schema of the settings: sections, options, defaults, bounds and what each means."""

from __future__ import annotations

import ipaddress
import typing

MIN_SECRET_CHARACTERS = 16
NAME = r"[a-z0-9]([a-z0-9-]{0,62})"


def _address(field: str, value: str, error: typing.Callable[[str, str], None]) -> None:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        error(field, "not an IP address")


def _endpoint(field: str, value: str, error: typing.Callable[[str, str], None]) -> None:
    host, _, port = value.removeprefix("http://").rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        error(field, "not an address and port")


def _optional_endpoint(field: str, value: str, error: typing.Callable[[str, str], None]) -> None:
    if value:
        _endpoint(field, value, error)


def _addresses(field: str, value: list[str], error: typing.Callable[[str, str], None]) -> None:
    for item in value:
        _endpoint(field, item, error)


def _words(text: str) -> list[str]:
    return [word for word in (part.strip() for part in text.split(",")) if word]


def _option(
    meaning: str, expected: str, *, default: typing.Any = None, **rule: typing.Any
) -> dict[str, typing.Any]:
    rule["meta"] = {"meaning": meaning, "expected": expected, "default": default}
    if default is None:
        rule["required"] = True
    else:
        rule["default"] = default
    return rule


def _number(
    meaning: str, unit: str, default: float, low: float, high: float, kind: type = float
) -> dict[str, typing.Any]:
    noun = "a whole number" if kind is int else "a number"
    return _option(
        meaning,
        f"{noun} of {unit} from {low:g} to {high:g}",
        default=default,
        type="integer" if kind is int else "float",
        coerce=kind,
        min=low,
        max=high,
    )


def _port(meaning: str) -> dict[str, typing.Any]:
    return _option(meaning, "a port from 1 to 65535", type="integer", coerce=int, min=1, max=65535)


def _name(meaning: str) -> dict[str, typing.Any]:
    return _option(
        meaning, "small letters, digits and hyphens, at most 63", type="string", regex=NAME
    )


def _secret(meaning: str) -> dict[str, typing.Any]:
    return _option(
        meaning,
        f"file:PATH or env:NAME holding at least {MIN_SECRET_CHARACTERS} characters",
        type="string",
        regex=r"(file|env):.+",
    )


def _url(meaning: str) -> dict[str, typing.Any]:
    return _option(
        meaning, "http://IP:PORT", type="string", regex=r"http://.+", check_with=_endpoint
    )


SCHEMA: dict[str, dict[str, dict[str, typing.Any]]] = {
    "instance": {
        "name": _name("Name of this instance, unique over the fleet."),
        "region": _name("Region of this instance."),
        "zone": _name("Availability zone of this instance."),
        "listen": _option(
            "Address that all servers listen on and peers connect to.",
            "an IP address",
            type="string",
            check_with=_address,
        ),
        "caller_port": _port("Port for callers."),
        "operator_port": _port("Port for operators."),
        "peer_port": _port("Port for other instances."),
        "wan_address": _option(
            "Where instances of other regions reach this one; empty means listen and peer_port.",
            "IP:PORT or nothing",
            default="",
            type="string",
            check_with=_optional_endpoint,
        ),
    },
    "peers": {
        "secret": _secret(
            "Secret that instances prove to each other and sign operation keys with."
        ),
        "seeds": _option(
            "Peers to contact first, in every region.",
            "IP:PORT, separated by commas",
            default="",
            type="list",
            coerce=_words,
            check_with=_addresses,
        ),
        "heartbeat_s": _number("Time between heartbeats.", "seconds", 1.0, 0.05, 60),
        "lost_after_s": _number("Silence after which a peer is lost.", "seconds", 5.0, 0.2, 300),
        "timeout_s": _number("Time-out of one message to a peer.", "seconds", 2.0, 0.05, 60),
    },
    "store": {
        "url": _url("The key-value service's JSON interface."),
        "prefix": _option(
            "Prefix of all keys in the store.",
            "a path that starts and ends with a slash",
            default="/yuccahitch/",
            type="string",
            regex=r"/([a-z0-9-]+/)+",
        ),
        "timeout_s": _number("Time-out of one call.", "seconds", 2.0, 0.05, 60),
        "lease_s": _number("Time to live of the instance's lease.", "seconds", 10.0, 1, 300),
        "resync_s": _number(
            "Time between full reads of the configuration.", "seconds", 60, 1, 3600
        ),
    },
    "platform": {
        "directory_url": _url("The client directory."),
        "instances_url": _url("The instance list."),
        "poll_s": _number("Time between reads of both.", "seconds", 2.0, 0.1, 300),
    },
    "operators": {
        "token": _secret("Token that operators present."),
        "max_resource_bytes": _number("Largest resource.", "bytes", 65536, 256, 1000000, int),
    },
    "log": {
        "file": _option(
            "File for events; - is standard output.", "a path or -", default="-", type="string"
        ),
    },
    "callers": {
        "max_body_bytes": _number("Largest body.", "bytes", 4194304, 1024, 1073741824, int),
        "max_header_bytes": _number("Longest header line.", "bytes", 8190, 1024, 65536, int),
        "max_headers": _number("Most headers of a request.", "headers", 64, 8, 512, int),
        "answer_buffer_chunks": _number(
            "Chunks of an answer held for a slow reader.", "chunks", 64, 1, 65536, int
        ),
        "write_timeout_s": _number("Longest wait for a slow reader.", "seconds", 60, 0.1, 3600),
        "default_deadline_s": _number("Deadline without a header.", "seconds", 120, 0.1, 86400),
        "operation_lifetime_s": _number(
            "Lifetime of idempotency keys.", "seconds", 3600, 1, 604800
        ),
        "drain_announce_s": _number(
            "Time between leaving the list of instances and accepting no more.",
            "seconds",
            2.0,
            0,
            300,
        ),
        "drain_limit_s": _number("Longest graceful shutdown.", "seconds", 600, 1, 86400),
        "list_ttl_s": _number("Time to live of the list of instances.", "seconds", 10, 1, 3600),
        "cut_off_keys": _option(
            "Whether keys work in a region cut off from the store and from peers that reach it.",
            "serve or refuse",
            default="serve",
            type="string",
            allowed=["serve", "refuse"],
        ),
        "cut_off_after_s": _number(
            "Age of the configuration after which a region counts as cut off.",
            "seconds",
            10.0,
            0.5,
            86400,
        ),
    },
    "limits": {
        "loan_s": _number("Longest loan of tokens between instances.", "seconds", 5.0, 0.2, 300),
        "drift_s": _number("Margin for differences between clocks.", "seconds", 0.5, 0.01, 60),
        "horizon_s": _number(
            "Time after which a cut-off instance without peers stops spending.",
            "seconds",
            5400,
            1,
            604800,
        ),
        "rebalance_s": _number("Time between moves of recorded slices.", "seconds", 30, 0.5, 3600),
        "gather_s": _number("Longest wait for tokens from peers.", "seconds", 0.5, 0.05, 30),
    },
    "policy": {
        "window": _number("Requests sent to an upstream per slot.", "requests", 1.25, 0.1, 64),
        "queue_requests": _number("Most requests waiting.", "requests", 512, 1, 65536, int),
        "retry_share": _number("Retries as a share of requests.", "parts", 0.1, 0, 1),
        "link_bytes_per_s": _number(
            "Bandwidth of the link to another region.", "bytes a second", 8750000, 1000, 1e12
        ),
        "link_delay_s": _number("One-way delay to another region.", "seconds", 0.055, 0, 10),
        "spill_gain_s": _number(
            "Gain in first-token time that justifies another region.", "seconds", 0.5, 0, 60
        ),
        "poison_crashes": _number("Upstreams crashed before refusal.", "upstreams", 2, 1, 16, int),
        "poison_s": _number("Time a crashing request is refused.", "seconds", 600, 1, 86400),
        "order_limit_s": _number("Longest order to an engine.", "seconds", 60, 0.1, 86400),
        "load_poll_s": _number("Time between load reports of an upstream.", "seconds", 1, 0.05, 60),
    },
}


def _zones(field: str, value: dict[str, str], error: typing.Callable[[str, str], None]) -> None:
    if not value or not all(value) or not all(value.values()):
        error(field, "not a list of zones")


def _zone_table(text: str) -> dict[str, str]:
    pairs = (word.partition("=") for word in _words(text))
    return {zone.strip(): region.strip() for zone, _, region in pairs}


def _listen(meaning: str, *, default: str | None = None) -> dict[str, typing.Any]:
    return _option(
        meaning,
        "IP:PORT" if default is None else "IP:PORT or nothing",
        default=default,
        type="string",
        check_with=_endpoint if default is None else _optional_endpoint,
    )


# Settings of an instance on the users' platform.
EDGE_SCHEMA: dict[str, dict[str, dict[str, typing.Any]]] = {
    "instance": {
        "name": _option(
            "Name of this machine.",
            "a name of at most 120 characters",
            type="string",
            minlength=1,
            maxlength=120,
        ),
        "region": _option("Region of this instance.", "a name", type="string", minlength=1),
        "zone": _option(
            "Availability zone of this instance.", "a name", type="string", minlength=1
        ),
        "zones": _option(
            "Region of each availability zone.",
            "ZONE=REGION, separated by commas",
            type="dict",
            coerce=_zone_table,
            check_with=_zones,
        ),
        "callers": _listen("Address for callers."),
        "readiness": _listen("Address for questions whether the instance is ready."),
        "directory": _listen("Address for callers that ask which instances to use.", default=""),
        "peers": _listen("Address for other instances, TCP and UDP."),
        "metrics": _listen("Address for metrics.", default=""),
    },
    "store": {
        "address": _listen("The platform's store."),
        "timeout_s": _number("Time-out of one call.", "seconds", 1.0, 0.05, 60),
        "lease_s": _number("Time to live of the instance's entry.", "seconds", 15.0, 1, 600),
        "watch_s": _number("Longest wait of a call for changes.", "seconds", 3.0, 0.5, 30),
    },
    "bounds": {
        "drain_ms": _number(
            "Time after which a leaving upstream gets nothing.", "ms", 3000, 0, 600000
        ),
        "grace_s": _number("Time between SIGTERM and SIGKILL.", "seconds", 8, 1, 86400),
        "retry_ratio": _number("Repeats as a share of requests.", "parts", 0.2, 0, 1),
        "retry_window_s": _number("Window of the repeats.", "seconds", 10, 0.1, 3600),
        "retry_extra": _number("Repeats in a window beside that.", "requests", 0, 0, 1e6),
        "rate_window_s": _number("Window in which use is judged.", "seconds", 1, 0.1, 3600),
        "rate_overage": _number("Part of a rate that may be exceeded.", "parts", 0, 0, 1),
        "rate_slack": _number("Tokens beside that.", "tokens", 0, 0, 1e12),
    },
    "callers": {
        "list_ttl_s": _number("Time to live of the directory's answers.", "seconds", 2.0, 0.5, 60),
        "answer_buffer_chunks": SCHEMA["callers"]["answer_buffer_chunks"],
        "write_timeout_s": SCHEMA["callers"]["write_timeout_s"],
    },
    "policy": {
        "link_bytes_per_s": SCHEMA["policy"]["link_bytes_per_s"],
        "link_delay_s": SCHEMA["policy"]["link_delay_s"],
        "spill_gain_s": _number(
            "Gain in first-token time that justifies another region.", "seconds", 0.1, 0, 60
        ),
    },
    "log": SCHEMA["log"],
}


Schema = dict[str, dict[str, dict[str, typing.Any]]]


def option_names(section: str, schema: Schema = SCHEMA) -> tuple[str, ...]:
    """Return the options of a section."""
    return tuple(schema[section])


def expectation(section: str, option: str, schema: Schema = SCHEMA) -> str:
    """Return what an option may hold, in words."""
    known = schema[section].get(option)
    if known is None:
        return f"one of the options {', '.join(schema[section])}"
    return known["meta"]["expected"]


def secret_names(section: str, schema: Schema = SCHEMA) -> list[str]:
    """Return the options that name where a secret is kept."""
    return [name for name in ("secret", "token") if name in schema[section]]
