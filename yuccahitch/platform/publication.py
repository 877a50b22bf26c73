"""Decodes the configuration that operators publish."""

from __future__ import annotations

import json
import typing

from yuccahitch.resources import account, key, publication, rate, route, service

Json = dict[str, typing.Any]

# The kind ``streaming`` is not here: such routes are unsafe or resumable, and their answers are
# streams.
REPEAT_POLICIES_BY_KIND = {"safe": route.RepeatPolicy.SAFE, "unsafe": route.RepeatPolicy.UNSAFE}


def decode(raw: bytes) -> publication.Publication:
    """Decode a configuration.

    Args:
        raw: JSON as the operators wrote it.

    Returns:
        The configuration.

    Raises:
        ValueError: When it is not JSON, or a field is missing or has a wrong type.
    """
    try:
        data = json.loads(raw)
        return publication.Publication(
            version=int(data["version"]),
            routes=[_decode_route(item) for item in data["routes"]],
            services=[_decode_service(item) for item in data["services"]],
            accounts=[_decode_account(item) for item in data.get("tenants") or ()],
            rates=[
                _decode_rate(item) for item in data.get("tenants") or () if item.get("ratePerS")
            ],
            accounts_by_key_digest=_decode_key_digests(data),
            requires_key=bool(data.get("tenants")),
            limits=_decode_limits(data.get("limits") or {}),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from error


def _decode_key_digests(data: Json) -> dict[str, str]:
    """Return the names of the client accounts by the digest of each key."""
    return {
        key.digest_of(text): item["name"]
        for item in data.get("tenants") or ()
        for text in item.get("apiKeys") or ()
    }


def _decode_route(item: Json) -> route.Route:
    weighted_backends = tuple(
        (part["service"], int(part["weight"])) for part in item.get("backends") or ()
    )
    streams = item["kind"] == "streaming"
    repeat = REPEAT_POLICIES_BY_KIND.get(item["kind"], route.RepeatPolicy.UNSAFE)
    if streams and item.get("resumable"):
        repeat = route.RepeatPolicy.RESUMABLE
    return route.Route(
        name=item["name"],
        service=item.get("service") or "",
        regions=tuple(item.get("homeRegions") or ()),
        open=bool(item.get("public")),
        idempotent=repeat is not route.RepeatPolicy.UNSAFE,
        host=item["host"],
        prefix=item["pathPrefix"],
        backends=weighted_backends,
        repeat=repeat,
        streams=streams,
        timeout_s=float(item.get("timeoutMs") or 0) / 1000,
        target_s=float(item.get("targetLatencyMs") or 0) / 1000,
        attempts=int(item.get("maxAttempts") or 1),
        priority=int(item.get("priority") or 0),
    )


def _decode_service(item: Json) -> service.Service:
    return service.Service(
        name=item["name"],
        kind=service.MODEL if item.get("engine") else service.PLAIN,
        warmup_s=float(item.get("warmupS") or 0),
        warmup_per_s=float(item.get("warmupPerS") or 0),
        max_connections=int(item.get("maxConnections") or 0),
    )


def _decode_account(item: Json) -> account.Account:
    return account.Account(
        name=item["name"],
        residency=tuple(item.get("homeRegions") or ()),
        priority=item.get("priority"),
        plain_tokens=int(item.get("plainTokens") or 0),
    )


def _decode_rate(item: Json) -> rate.Rate:
    """Return the rate and burst of a client account."""
    # Both numbers count tokens if the unit of the rate says so, else requests.
    return rate.Rate(
        name=item["name"],
        tokens_per_s=float(item["ratePerS"]),
        burst_tokens=float(item.get("burst") or 0),
    )


def _decode_limits(item: Json) -> publication.CallerLimits:
    return publication.CallerLimits(
        max_header_bytes=int(item.get("maxHeaderBytes", 16384)),
        max_body_bytes=int(item.get("maxBodyBytes", 4194304)),
        header_timeout_s=float(item.get("headerTimeoutMs", 3000)) / 1000,
        idle_timeout_s=float(item.get("idleTimeoutMs", 15000)) / 1000,
    )
