"""Writes the settings and resources of the two example deployments.

Run as ``python examples/generate.py``; the files that it writes are committed. Every region has
its own loopback addresses. Stand-ins relay the peer ports, to simulate the links between regions.
"""

from __future__ import annotations

import hashlib
import itertools
import json
import pathlib
import typing

HERE = pathlib.Path(__file__).parent
INSTANCES_PER_REGION = 2
CALLER_PORT = 7001
OPERATOR_PORT = 7002
PEER_PORT = 7003
WAN_PORT = 7004
LINK_CONTROL_PORT = 7100
STORE_PORT = 7201
DIRECTORY_PORT = 7202
INSTANCE_LIST_PORT = 7203
STORE_LINK_PORT = 7204
ENGINE_PORT = 7300

ICE_WORKS = {
    "name": "ice-works",
    "net": 11,
    "regions": ["muscat-a", "sohar-a", "salalah-a"],
    "delay_s": 0.055,
    "bytes_per_s": 8_750_000,
    "models": {"ice-model": 5},
    "plain": {"rink-desk": 3},
    "accounts": {
        "sahil-rinks": (4000, 40000, []),
        "hotel-rinks": (2000, 20000, []),
        "curling-clubs": (1000, 16000, ["muscat-a", "sohar-a"]),
        "school-ponds": (500, 8000, ["salalah-a"]),
        "guest-crews": (200, 6000, []),
    },
}
DOORS = {
    "name": "doors",
    "net": 12,
    "regions": ["occ-a", "cen-a", "nte-a"],
    "delay_s": 0.055,
    "bytes_per_s": 125_000_000,
    "models": {"pintor-lm": 6},
    "plain": {"taller-app": 3},
    "accounts": {
        "occidente": (5000, 50000, ["occ-a"]),
        "centro": (3000, 30000, []),
        "norte": (2000, 20000, []),
        "talleres": (1000, 16000, ["occ-a", "cen-a"]),
        "visitas": (300, 6000, []),
    },
}
# Description of a deployment, such as ICE_WORKS. Each account has tokens per second, burst tokens
# and the regions in which its data may reside; an empty list allows all regions.
Layout = dict[str, typing.Any]


def loopback_address(layout: Layout, region: int, host: int) -> str:
    """Return the loopback address of a host; region and host are numbered from 0."""
    return f"127.{layout['net']}.{region + 1}.{host + 1}"


def list_instances(layout: Layout) -> list[tuple[int, int, str, str]]:
    """Return the region number, host number, name and address of each instance."""
    return [
        (r, h, f"{region}-{h + 1}", loopback_address(layout, r, h))
        for r, region in enumerate(layout["regions"])
        for h in range(INSTANCES_PER_REGION)
    ]


def render_settings(layout: Layout, region: int, name: str, host: str, zone: int) -> str:
    """Return the settings file of one instance as text."""
    seeds = ", ".join(
        f"{ip}:{PEER_PORT if r == region else WAN_PORT}"
        for r, _, _, ip in list_instances(layout)
        if ip != host
    )
    platform_host = loopback_address(layout, 0, 200)
    store_address = f"{platform_host}:{STORE_PORT}"
    if region:
        store_address = f"{loopback_address(layout, region, 200)}:{STORE_LINK_PORT}"
    region_name = layout["regions"][region]
    return f"""[instance]
name = {name}
region = {region_name}
zone = {region_name}{zone + 1}
listen = {host}
caller_port = {CALLER_PORT}
operator_port = {OPERATOR_PORT}
peer_port = {PEER_PORT}
wan_address = {host}:{WAN_PORT}

[peers]
secret = env:YUCCAHITCH_FLEET_SECRET
seeds = {seeds}

[store]
url = http://{store_address}

[platform]
directory_url = http://{platform_host}:{DIRECTORY_PORT}
instances_url = http://{platform_host}:{INSTANCE_LIST_PORT}

[operators]
token = env:YUCCAHITCH_OPERATOR_TOKEN

[policy]
link_bytes_per_s = {layout['bytes_per_s']}
link_delay_s = {layout['delay_s']}
"""


def list_upstreams(layout: Layout) -> list[tuple[str, str, str, int, str, int]]:
    """Return the name, service, kind, region number, address and port of each upstream."""
    services_by_kind = [("model", layout["models"]), ("plain", layout["plain"])]
    service_replicas = [
        (kind, service, number)
        for kind, services in services_by_kind
        for service, count in services.items()
        for number in range(count)
    ]
    return [
        (
            f"{service}-{number + 1}",
            service,
            kind,
            number % len(layout["regions"]),
            loopback_address(layout, number % len(layout["regions"]), 100 + index),
            ENGINE_PORT,
        )
        for index, (kind, service, number) in enumerate(service_replicas)
    ]


def example_key(account: str) -> str:
    """Return the example API key of an account; real keys are random and never stored in files."""
    return f"example-key-{account}"


def build_resources(layout: Layout) -> list[dict[str, typing.Any]]:
    """Return all resources of a deployment, as resources.json holds them."""
    services = [
        {"kind": "service", "spec": {"name": name, "kind": "model", "max_output_tokens": 2000}}
        for name in layout["models"]
    ] + [
        {"kind": "service", "spec": {"name": name, "kind": "plain", "tokens_per_call": 1}}
        for name in layout["plain"]
    ]
    accounts = [
        {"kind": "account", "spec": {"name": name, "residency": residency, "client": name}}
        for name, (_, _, residency) in layout["accounts"].items()
    ]
    rates = [
        {"kind": "rate", "spec": {"name": name, "tokens_per_s": rate, "burst_tokens": burst}}
        for name, (rate, burst, _) in layout["accounts"].items()
    ]
    keys = [
        {
            "kind": "key",
            "spec": {
                "name": f"{name}-1",
                "account": name,
                "digest": hashlib.sha256(example_key(name).encode()).hexdigest(),
            },
        }
        for name in layout["accounts"]
    ]
    routes = [
        {
            "kind": "route",
            "spec": {
                "name": name,
                "target": name,
                "service": name,
                "idempotent": name in layout["models"],
            },
        }
        for name in itertools.chain(layout["models"], layout["plain"])
    ]
    upstreams = [
        {
            "kind": "upstream",
            "spec": {
                "name": name,
                "service": service,
                "region": layout["regions"][region],
                "zone": f"{layout['regions'][region]}1",
                "address": f"http://{host}:{port}",
                "slots": 8,
                "abilities": (
                    ["load", "echo", "cancel", "priority", "resume"] if kind == "model" else []
                ),
            },
        }
        for name, service, kind, region, host, port in list_upstreams(layout)
    ]
    return services + accounts + rates + keys + routes + upstreams


def build_standin_arguments(layout: Layout) -> list[list[str]]:
    """Return the arguments of ``python -m standins`` for each stand-in to start."""
    platform_host = loopback_address(layout, 0, 200)
    link_options = [f"delay_s={layout['delay_s']}", f"bytes_per_s={layout['bytes_per_s']}"]
    platform_standins = [
        ["keyvalue", str(STORE_PORT), f"host={platform_host}"],
        ["directory", str(DIRECTORY_PORT), f"host={platform_host}"],
        ["instances", str(INSTANCE_LIST_PORT), f"host={platform_host}"],
    ]
    engines = [
        ["engine" if kind == "model" else "plain", str(port), f"host={host}", f"name={name}"]
        for name, _, kind, _, host, port in list_upstreams(layout)
    ]
    peer_links = [
        [
            "link",
            str(LINK_CONTROL_PORT),
            f"host={ip}",
            f"listen={ip}:{WAN_PORT}",
            f"target={ip}:{PEER_PORT}",
            *link_options,
        ]
        for _, _, _, ip in list_instances(layout)
    ]
    store_links = [
        [
            "link",
            str(LINK_CONTROL_PORT),
            f"host={loopback_address(layout, r, 200)}",
            f"listen={loopback_address(layout, r, 200)}:{STORE_LINK_PORT}",
            f"target={platform_host}:{STORE_PORT}",
            *link_options,
        ]
        for r in range(1, len(layout["regions"]))
    ]
    return platform_standins + engines + peer_links + store_links


def main() -> None:
    """Write the settings, resources and stand-in arguments of both deployments."""
    for layout in (ICE_WORKS, DOORS):
        folder = HERE / layout["name"]
        folder.mkdir(exist_ok=True)
        for region, host, name, ip in list_instances(layout):
            (folder / f"{name}.ini").write_text(render_settings(layout, region, name, ip, host))
        text = json.dumps(build_resources(layout), indent=1) + "\n"
        (folder / "resources.json").write_text(text)
        lines = (
            "\n".join(" ".join(arguments) for arguments in build_standin_arguments(layout)) + "\n"
        )
        (folder / "standins.txt").write_text(lines)


if __name__ == "__main__":
    main()
