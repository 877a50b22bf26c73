"""The schema of the settings: sections and options with their defaults, limits and meanings."""

from __future__ import annotations

import ipaddress
import typing

MIN_SECRET_CHARACTERS = 16
NAME_PATTERN = r"[a-z0-9]([a-z0-9-]{0,62})"


def _check_ip_address(
    field: str, value: str, report_error: typing.Callable[[str, str], None]
) -> None:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        report_error(field, "not an IP address")


def _check_endpoint(
    field: str, value: str, report_error: typing.Callable[[str, str], None]
) -> None:
    host, _, port = value.removeprefix("http://").rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        report_error(field, "not an address and port")


def _check_optional_endpoint(
    field: str, value: str, report_error: typing.Callable[[str, str], None]
) -> None:
    if value:
        _check_endpoint(field, value, report_error)


def _check_endpoints(
    field: str, value: list[str], report_error: typing.Callable[[str, str], None]
) -> None:
    for item in value:
        _check_endpoint(field, item, report_error)


def _split_list(text: str) -> list[str]:
    """Return the items of a list separated by commas."""
    return [word for word in (part.strip() for part in text.split(",")) if word]


def _option_rule(
    meaning: str, expected: str, *, default: typing.Any = None, **rule: typing.Any
) -> dict[str, typing.Any]:
    """Return the cerberus rule of an option.

    Args:
        meaning: What the option sets.
        expected: What it may hold, for the report of a mistake.
        default: Default; None makes the option required.
        rule: Other parts of the cerberus rule.
    """
    rule["meta"] = {"meaning": meaning, "expected": expected, "default": default}
    if default is None:
        rule["required"] = True
    else:
        rule["default"] = default
    return rule


def _switch_rule(description: str) -> dict[str, typing.Any]:
    """Return the rule of an option that is on or off, off by default."""
    values = ["on", "off"]
    return _option_rule(description, "on or off", default="off", type="string", allowed=values)


def _number_rule(
    meaning: str, unit: str, default: float, low: float, high: float, number_type: type = float
) -> dict[str, typing.Any]:
    """Return the rule of an option that holds a number from ``low`` to ``high``."""
    noun = "a whole number" if number_type is int else "a number"
    return _option_rule(
        meaning,
        f"{noun} of {unit} from {low:g} to {high:g}",
        default=default,
        type="integer" if number_type is int else "float",
        coerce=number_type,
        min=low,
        max=high,
    )


def _port_rule(meaning: str) -> dict[str, typing.Any]:
    return _option_rule(
        meaning, "a port from 1 to 65535", type="integer", coerce=int, min=1, max=65535
    )


def _name_rule(meaning: str) -> dict[str, typing.Any]:
    return _option_rule(
        meaning,
        "lowercase letters, digits and hyphens, at most 63 characters",
        type="string",
        regex=NAME_PATTERN,
    )


def _secret_rule(meaning: str) -> dict[str, typing.Any]:
    return _option_rule(
        meaning,
        f"file:PATH or env:NAME holding at least {MIN_SECRET_CHARACTERS} characters",
        type="string",
        regex=r"(file|env):.+",
    )


def _url_rule(meaning: str) -> dict[str, typing.Any]:
    return _option_rule(
        meaning, "http://IP:PORT", type="string", regex=r"http://.+", check_with=_check_endpoint
    )


SCHEMA: dict[str, dict[str, dict[str, typing.Any]]] = {
    "instance": {
        "name": _name_rule("Name of this instance, unique in the fleet."),
        "region": _name_rule("Region of this instance."),
        "zone": _name_rule("Availability zone of this instance."),
        "listen": _option_rule(
            "Address that the instance listens on and that peers of its region connect to.",
            "an IP address",
            type="string",
            check_with=_check_ip_address,
        ),
        "caller_port": _port_rule("Port for callers."),
        "operator_port": _port_rule("Port for operators."),
        "peer_port": _port_rule("Port for other instances."),
        "wan_address": _option_rule(
            "Peer address for instances of other regions; empty means listen and peer_port.",
            "IP:PORT or nothing",
            default="",
            type="string",
            check_with=_check_optional_endpoint,
        ),
    },
    "peers": {
        "secret": _secret_rule(
            "Secret that authenticates instances to each other and signs idempotency keys."
        ),
        "seeds": _option_rule(
            "Peer addresses to contact first, in every region.",
            "IP:PORT, separated by commas",
            default="",
            type="list",
            coerce=_split_list,
            check_with=_check_endpoints,
        ),
        "heartbeat_s": _number_rule("Time between heartbeats.", "seconds", 1.0, 0.05, 60),
        "lost_after_s": _number_rule(
            "Time without a heartbeat after which a peer is unreachable.", "seconds", 5.0, 0.2, 300
        ),
        "timeout_s": _number_rule("Timeout of one message to a peer.", "seconds", 2.0, 0.05, 60),
    },
    "store": {
        "url": _url_rule("URL of the key-value service's JSON interface."),
        "prefix": _option_rule(
            "Prefix of all keys in the store.",
            "a path that starts and ends with a slash",
            default="/yuccahitch/",
            type="string",
            regex=r"/([a-z0-9-]+/)+",
        ),
        "timeout_s": _number_rule("Timeout of one call to the store.", "seconds", 2.0, 0.05, 60),
        "lease_s": _number_rule(
            "Time to live of the instance's lease in the store.", "seconds", 10.0, 1, 300
        ),
        "resync_s": _number_rule(
            "Time between full reads of the configuration.", "seconds", 60, 1, 3600
        ),
    },
    "platform": {
        "directory_url": _url_rule("URL of the client directory."),
        "instances_url": _url_rule("URL of the instance list."),
        "poll_s": _number_rule(
            "Time between reads of the directory and of the list.", "seconds", 2.0, 0.1, 300
        ),
    },
    "operators": {
        "token": _secret_rule("Token that authenticates operators."),
        "max_resource_bytes": _number_rule(
            "Largest size of a resource that an operator writes.", "bytes", 65536, 256, 1000000, int
        ),
    },
    "log": {
        "file": _option_rule(
            "File for log events; - is standard output.", "a path or -", default="-", type="string"
        ),
    },
    "callers": {
        "max_body_bytes": _number_rule(
            "Largest size of a request's body.", "bytes", 4194304, 1024, 1073741824, int
        ),
        "max_header_bytes": _number_rule(
            "Largest size of a header line.", "bytes", 8190, 1024, 65536, int
        ),
        "max_headers": _number_rule(
            "Largest number of headers in a request.", "headers", 64, 8, 512, int
        ),
        "answer_buffer_chunks": _number_rule(
            "64 KiB chunks of an answer buffered for a slow caller.", "chunks", 64, 1, 65536, int
        ),
        "write_timeout_s": _number_rule(
            "Longest wait for a slow caller to read.", "seconds", 60, 0.1, 3600
        ),
        "header_timeout_s": _number_rule(
            "Longest time for the head of a request; twice this closes the connection.",
            "seconds",
            5.0,
            0.1,
            3600,
        ),
        "memory_mb": _number_rule(
            "Memory of the machine, which bounds what is held for callers; 0 means all there is.",
            "MB",
            0,
            0,
            1e9,
        ),
        "max_descriptors": _number_rule(
            "Descriptors of the machine, which bound the connections of callers; 0 means the limit"
            " of the operating system.",
            "descriptors",
            0,
            0,
            1e9,
            int,
        ),
        "default_deadline_s": _number_rule(
            "Deadline of a request without a deadline header.", "seconds", 120, 0.1, 86400
        ),
        "operation_lifetime_s": _number_rule(
            "Lifetime of idempotency keys.", "seconds", 3600, 1, 604800
        ),
        "drain_announce_s": _number_rule(
            "Time between leaving the list of instances and accepting no more requests.",
            "seconds",
            2.0,
            0,
            300,
        ),
        "drain_limit_s": _number_rule(
            "Longest duration of a graceful shutdown.", "seconds", 600, 1, 86400
        ),
        "list_ttl_s": _number_rule(
            "Time to live of the list of instances.", "seconds", 10, 1, 3600
        ),
        "cut_off_keys": _option_rule(
            "Whether keys work in a region cut off from the store and from peers that reach it.",
            "serve or refuse",
            default="serve",
            type="string",
            allowed=["serve", "refuse"],
        ),
        "cut_off_after_s": _number_rule(
            "Age of the configuration after which a region counts as cut off.",
            "seconds",
            10.0,
            0.5,
            86400,
        ),
    },
    "limits": {
        "loan_s": _number_rule(
            "Longest loan of tokens between instances.", "seconds", 5.0, 0.2, 300
        ),
        "drift_s": _number_rule("Margin for differences between clocks.", "seconds", 0.5, 0.01, 60),
        "horizon_s": _number_rule(
            "Time after which a cut-off instance without peers stops spending tokens.",
            "seconds",
            5400,
            1,
            604800,
        ),
        "rebalance_s": _number_rule(
            "Time between rebalancings of the rate slices in the store.", "seconds", 30, 0.5, 3600
        ),
        "gather_s": _number_rule(
            "Longest wait of a request for tokens from peers that know their slices.",
            "seconds",
            0.5,
            0.05,
            30,
        ),
    },
    "policy": {
        "window": _number_rule(
            "Requests sent to an upstream per slot before further ones are queued.",
            "requests",
            1.25,
            0.1,
            64,
        ),
        "queue_requests": _number_rule(
            "Largest number of queued requests.", "requests", 512, 1, 65536, int
        ),
        "retry_share": _number_rule("Retries as a fraction of requests.", "parts", 0.1, 0, 1),
        "link_bytes_per_s": _number_rule(
            "Bandwidth of the link to another region.", "bytes a second", 8750000, 1000, 1e12
        ),
        "link_delay_s": _number_rule("One-way delay to another region.", "seconds", 0.055, 0, 10),
        "spill_gain_s": _number_rule(
            "Gain in time to first token that justifies another region.", "seconds", 0.5, 0, 60
        ),
        "poison_crashes": _number_rule(
            "Number of crashed upstreams from which a request is refused.",
            "upstreams",
            2,
            1,
            16,
            int,
        ),
        "poison_s": _number_rule(
            "Time for which a poison request is refused.", "seconds", 600, 1, 86400
        ),
        "order_limit_s": _number_rule(
            "Longest time that an order to an engine may take.", "seconds", 60, 0.1, 86400
        ),
        "load_poll_s": _number_rule(
            "Time between load reports of an upstream.", "seconds", 1, 0.05, 60
        ),
    },
}


def _check_zones(
    field: str, value: dict[str, str], report_error: typing.Callable[[str, str], None]
) -> None:
    if not value or not all(value) or not all(value.values()):
        report_error(field, "not a list of zones")


def _parse_zones(text: str) -> dict[str, str]:
    """Return the region of each zone in a list of ZONE=REGION pairs."""
    pairs = (word.partition("=") for word in _split_list(text))
    return {zone.strip(): region.strip() for zone, _, region in pairs}


def _listen_rule(meaning: str, *, default: str | None = None) -> dict[str, typing.Any]:
    """Return the rule of an option that holds an address and a port, or nothing by default."""
    return _option_rule(
        meaning,
        "IP:PORT" if default is None else "IP:PORT or nothing",
        default=default,
        type="string",
        check_with=_check_endpoint if default is None else _check_optional_endpoint,
    )


# Settings of an instance on the users' platform.
EDGE_SCHEMA: dict[str, dict[str, dict[str, typing.Any]]] = {
    "instance": {
        "name": _option_rule(
            "Name of the machine that the instance runs on.",
            "a name of at most 120 characters",
            type="string",
            minlength=1,
            maxlength=120,
        ),
        "region": _option_rule("Region of this instance.", "a name", type="string", minlength=1),
        "zone": _option_rule(
            "Availability zone of this instance.", "a name", type="string", minlength=1
        ),
        "zones": _option_rule(
            "Region of each availability zone.",
            "ZONE=REGION, separated by commas",
            type="dict",
            coerce=_parse_zones,
            check_with=_check_zones,
        ),
        "callers": _listen_rule("Address for callers."),
        "readiness": _listen_rule("Address for readiness checks."),
        "directory": _listen_rule(
            "Address for callers that ask which instances to use.", default=""
        ),
        "peers": _listen_rule("Address for other instances, TCP and UDP."),
        "metrics": _listen_rule("Address for metrics.", default=""),
    },
    "store": {
        "address": _listen_rule("Address of the platform's store."),
        "timeout_s": _number_rule("Timeout of one call to the store.", "seconds", 1.0, 0.05, 60),
        "lease_s": _number_rule(
            "Time to live of the instance's entry in the store.", "seconds", 15.0, 1, 600
        ),
        "upstream_heartbeat_ms": _number_rule(
            "Time between two writes of an upstream's entry.", "ms", 1200, 10, 600000
        ),
        "watch_s": _number_rule(
            "Longest wait of a long-polling call for changes.", "seconds", 2.0, 0.5, 30
        ),
        "writes_per_s": _number_rule(
            "Writes that the store takes from all instances together.", "writes", 100.0, 0.1, 1e9
        ),
        "first_start": _option_rule(
            "Whether the whole fleet starts for the first time, so that no streams are open.",
            "true or false",
            default="false",
            type="string",
            allowed=["true", "false"],
        ),
    },
    "bounds": {
        "drain_ms": _number_rule(
            "Time after which a leaving upstream gets no requests.", "ms", 3000, 0, 600000
        ),
        "config_ms": _number_rule(
            "Time after which a published configuration is in force.", "ms", 3000, 0, 600000
        ),
        "grace_s": _number_rule("Time between SIGTERM and SIGKILL.", "seconds", 8, 1, 86400),
        "retry_ratio": _number_rule("Retries as a fraction of requests.", "parts", 0.2, 0, 1),
        "retry_window_s": _number_rule(
            "Window over which requests and retries are counted.", "seconds", 10, 0.1, 3600
        ),
        "retry_extra": _number_rule(
            "Retries allowed in a window on top of retry_ratio.", "requests", 0, 0, 1e6
        ),
        "rate_window_s": _number_rule(
            "Window over which the platform measures the use of a rate.", "seconds", 1, 0.1, 3600
        ),
        "rate_overage": _number_rule(
            "Fraction by which the platform lets a rate be exceeded.", "parts", 0, 0, 1
        ),
        "rate_slack": _number_rule(
            "Tokens that the platform tolerates on top of rate_overage.", "tokens", 0, 0, 1e12
        ),
    },
    "callers": {
        "list_ttl_s": _number_rule(
            "Time for which callers may cache a directory answer.", "seconds", 2.0, 0.5, 60
        ),
        "answer_buffer_chunks": SCHEMA["callers"]["answer_buffer_chunks"],
        "write_timeout_s": SCHEMA["callers"]["write_timeout_s"],
        "memory_mb": SCHEMA["callers"]["memory_mb"],
        "max_descriptors": SCHEMA["callers"]["max_descriptors"],
    },
    "policy": {
        "link_bytes_per_s": SCHEMA["policy"]["link_bytes_per_s"],
        "link_delay_s": SCHEMA["policy"]["link_delay_s"],
        "spill_gain_s": _number_rule(
            "Gain in time to first token that justifies another region.", "seconds", 0.1, 0, 60
        ),
        "urgency": _switch_rule(
            "Whether a service that is short of places admits its more urgent requests first, if "
            "its routes or accounts hold more than one priority.",
        ),
        "engine_memory": _switch_rule(
            "Whether requests go only to upstreams with memory for them."
        ),
        "upstream_speeds": _switch_rule(
            "Whether the speed of each upstream is learned, and queues and waits follow it.",
        ),
        "link_share": _number_rule(
            "Fraction of a link to another region that forwards may take; 0 for no bound.",
            "parts",
            0,
            0,
            1,
        ),
        "part_holders": _number_rule(
            "Most upstreams of a region that hold the same prompt part; 0 for one in all regions "
            "that others stand in for without order.",
            "upstreams",
            0,
            0,
            64,
            int,
        ),
    },
    "log": SCHEMA["log"],
}


Schema = dict[str, dict[str, dict[str, typing.Any]]]


def option_names(section: str, schema: Schema = SCHEMA) -> tuple[str, ...]:
    """Return the names of a section's options."""
    return tuple(schema[section])


def expected_text(section: str, option: str, schema: Schema = SCHEMA) -> str:
    """Return the description of what an option may hold, for the report of a mistake."""
    option_rule = schema[section].get(option)
    if option_rule is None:
        return f"one of the options {', '.join(schema[section])}"
    return option_rule["meta"]["expected"]


def secret_options(section: str, schema: Schema = SCHEMA) -> list[str]:
    """Return the names of a section's options that name the source of a secret."""
    return [name for name in ("secret", "token") if name in schema[section]]
