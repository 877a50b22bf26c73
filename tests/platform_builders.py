"""Builders of test data for the users' platform."""

from __future__ import annotations

import configparser
import itertools
import json
import pathlib
import random
import tempfile
import typing

from yuccahitch import errors
from yuccahitch import settings as settings_module
from yuccahitch.codecs import datagrams
from yuccahitch.controllers.instance import edge
from yuccahitch.messages import actions, answers, request_lifecycle, store
from yuccahitch.platform import names, publication, upstreams
from yuccahitch.platform import requests as platform_requests

_numbers = itertools.count(1)
# Ports of instances in virtual time, which nothing listens on.
_ports = itertools.cycle(range(10_000, 60_000))
HOST = "rinks.example"
PLATFORM_KEY = "key-of-rinks"


def a_published_route(name: str, prefix: str, **fields: typing.Any) -> dict[str, typing.Any]:
    """Return a route in the format of the platform's published configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "unsafe",
        "timeoutMs": 3000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": "desk",
        "maxAttempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        "homeRegions": [],
    } | fields


def a_published_tenant(name: str = "rinks", **fields: typing.Any) -> dict[str, typing.Any]:
    """Return a client account in the format of the platform's published configuration."""
    return {
        "name": name,
        "apiKeys": [PLATFORM_KEY],
        "unit": "generate",
        "plainTokens": 10,
        "ratePerS": 0,
        "burst": 0,
        "homeRegions": [],
    } | fields


def a_publication(version: int = 1, **fields: typing.Any) -> dict[str, typing.Any]:
    """Return a complete configuration in the format that the platform publishes."""
    engine = {"capacity": 8, "kvCapacityTokens": 100000, "models": [{"name": "m"}]}
    stream = {"kind": "streaming", "service": "model", "timeoutMs": 5000, "maxAttempts": 2}
    return {
        "version": version,
        "routes": [
            a_published_route("book", "/book/"),
            a_published_route("status", "/status/", kind="safe", maxAttempts=2),
            a_published_route("open", "/open/", public=True),
            a_published_route("plan", "/plan/", **stream, resumable=True),
            a_published_route("ask", "/ask/", **(stream | {"maxAttempts": 1})),
            a_published_route("away", "/away/", kind="safe", homeRegions=["west"]),
            a_published_route("brief", "/brief/", kind="safe", timeoutMs=700),
        ],
        "services": [
            {"name": "desk", "healthPath": "/health", "maxConnections": 100},
            {
                "name": "model",
                "healthPath": "/health",
                "maxConnections": 100,
                "warmupS": 3.0,
                "warmupPerS": 4.0,
                "engine": engine,
            },
        ],
        "limits": {
            "maxHeaderBytes": 4096,
            "maxBodyBytes": 20000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [a_published_tenant()],
    } | fields


def edge_settings(raw: dict[str, dict[str, str]]) -> settings_module.EdgeSettings:
    """Return the settings of an instance on a platform, loaded from a temporary file."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(raw)
    with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
        parser.write(file)
        file.flush()
        return settings_module.load_edge(pathlib.Path(file.name))


def a_registration(**fields: typing.Any) -> dict[str, typing.Any]:
    """Return the entry that a ready upstream writes to the platform's store."""
    registration = {
        "service": "desk",
        "address": "127.0.0.1:1",
        "zone": "east-a",
        "capacity": 4,
        "state": "ready",
        "warmupLeftMs": 0,
        "born": 1,
    }
    return registration | fields


def to_bytes(document: typing.Any) -> bytes:
    """Return a document as JSON."""
    return json.dumps(document).encode()


def a_dispatch(upstream: str, *, incarnation: str) -> actions.Dispatch:
    """Return the dispatch of a request to an upstream."""
    request = platform_requests.decode(
        method="GET", path="/status/x", headers=(), body=b"", now=0.0, new_id="none"
    )
    return actions.Dispatch(
        upstream=upstream,
        incarnation=incarnation,
        address="127.0.0.1:1",
        attempt=1,
        request=request,
        max_tokens=0,
        priority=0,
        echoes_request_id=True,
    )


class EdgeUnderTest:
    """The decisions of one instance on a platform, driven by a test in virtual time.

    Attributes:
        decisions: The controllers and filter chains of the instance.
        now: Monotonic virtual time in seconds, advanced by the test.
        sent: Unused; always empty.
        revision: Store revision of the newest item that `store_item` made.
    """

    __slots__ = ("decisions", "now", "sent", "revision")

    def __init__(
        self,
        name: str = "edge-1",
        *,
        region: str = "east",
        zone: str = "",
        now: float = 1000.0,
        bounds: dict[str, str] | None = None,
        first_start: bool = True,
        incarnation: int | None = None,
        policy: dict[str, str] | None = None,
    ) -> None:
        zones = "east-a=east, east-b=east, west-a=west"
        raw = {
            "instance": {
                "name": name,
                "region": region,
                "zone": zone or f"{region}-a",
                "zones": zones,
                "callers": f"127.0.0.1:{next(_ports)}",
                "readiness": "127.0.0.1:7002",
                "peers": f"127.0.0.1:{next(_ports)}",
            },
            "store": {
                "address": "127.0.0.1:7100",
                "first_start": "true" if first_start else "false",
            },
            "bounds": {"retry_extra": "60", "rate_window_s": "8", "rate_overage": "0.1"}
            | (bounds or {}),
            "policy": policy or {},
        }
        self.now = now
        self.sent: list[typing.Any] = []
        self.revision = 1
        self.decisions = edge.Edge(
            edge_settings(raw),
            instance=f"{name}~{next(_numbers) if incarnation is None else incarnation}",
            keyspace=names,
            read_publication=publication.decode,
            read_upstream=upstreams.decode,
            rng=random.Random(7),
            now=self.now,
        )

    def store_item(self, key: str, value: typing.Any) -> store.KeyValue:
        """Return a store item whose revision is one above that of the last one.

        A value of bytes is stored as it is, any other as JSON.
        """
        self.revision += 1
        raw = value if type(value) is bytes else json.dumps(value).encode()
        return store.KeyValue(key=key, value=raw, revision=self.revision)

    def publish(self, document: typing.Any) -> None:
        """Apply a published configuration as a change of the watched key."""
        self.decisions.config.apply_change("config", self.store_item("config", document), self.now)

    def mark_store_read(self) -> None:
        """Let the instance take the store for read, so that it is ready to serve."""
        self.decisions.feed.revision = self.revision
        self.decisions.feed.confirm(self.now)

    def register_upstream(self, name: str, **fields: typing.Any) -> None:
        """Apply the store entry of an upstream, by default a ready one."""
        self.decisions.registry.apply_change(
            name, self.store_item(name, a_registration(**fields)), self.now
        )
        self.serve_versions()

    def serve_versions(self) -> None:
        """Apply records by which streams may begin at all versions that upstreams have."""
        replicas = self.decisions.registry.by_name.values()
        for service in {replica.upstream.service for replica in replicas}:
            versions = {
                replica.upstream.software_version: "serving"
                for replica in replicas
                if replica.upstream.service == service
            }
            document = {"versions": versions, "era": self.decisions.feed.era}
            self.decisions.versions.apply_change(
                service, self.store_item(service, document), self.now
            )
        self.decisions.feed.confirm(self.now)

    def discover(self, other: EdgeUnderTest) -> None:
        """Apply the store entry of another instance, which is ready, then receive its pulse."""
        own = other.decisions.members.own
        own.ready = True
        name = other.decisions.members.name
        self.decisions.members.apply_change(name, self.store_item(name, own.as_dict()), self.now)
        self.receive_pulse_from(other)

    def receive_pulse_from(self, other: EdgeUnderTest) -> None:
        """Receive the present pulse of another instance, encoded for the wire."""
        in_other_region = other.decisions.members.own.region != self.decisions.members.own.region
        self.receive_pulse(other.encode_pulse(wide=in_other_region))

    def encode_pulse(self, *, wide: bool = False) -> bytes:
        """Return the present pulse, encoded for an instance of another region if ``wide``."""
        self.decisions.outbox.clear()
        self.decisions.send_pulse(["127.0.0.1:1"], self.now, wide=wide)
        return datagrams.encode(self.decisions.outbox.pop().report)

    def receive_pulse(self, raw: bytes) -> None:
        """Decode and process a received pulse."""
        self.decisions.on_report(datagrams.decode(raw), self.now)

    def begin_request(
        self, path: str = "/status/x", *, body: bytes = b"", **headers: str
    ) -> request_lifecycle.NextAction:
        """Begin a caller's request for a path, and return the next action for it."""
        default_headers = {
            "Host": HOST,
            "Authorization": f"Token {PLATFORM_KEY}",
            "X-Request-Id": f"e{next(_numbers)}",
            "X-Deadline-Ms": "4000",
        }
        request = platform_requests.decode(
            method="POST" if body else "GET",
            path=path,
            headers=list((default_headers | headers).items()),
            body=body,
            now=self.now,
            new_id="none",
        )
        return self.decisions.begin(request, None, self.now)

    def resume_request(self, request_id: str, part: typing.Any) -> request_lifecycle.NextAction:
        """Resume a request with a part of its answer or a failure, and return the next action."""
        return self.decisions.resume(request_id, part, self.now)

    def finish_request(
        self,
        request_id: str,
        *,
        succeeded: bool = True,
        error: errors.GatewayError | None = None,
    ) -> None:
        """Finish a request that used no tokens, with or without an error."""
        message = request_lifecycle.Finish(
            request_id, succeeded=succeeded, usage=answers.Usage(), error=error
        )
        self.decisions.finish(message, self.now)
