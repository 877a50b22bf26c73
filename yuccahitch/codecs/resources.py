"""Codec of resources and entries as JSON, checked against the schema of each kind."""

from __future__ import annotations

import functools
import json
import typing

import cerberus

from yuccahitch import errors
from yuccahitch.codecs import _resource_schema as schema
from yuccahitch.resources import entry

STEP = "resource-codec"
# Fields that a route may lack: it has a target or a host and a prefix, a service or backends.
ROUTE_FORM_FIELDS = frozenset(("target", "service", "host", "prefix", "backends"))
# Fields of each resource type in JSON; those that only a publication sets are left out.
FIELDS_BY_TYPE = {entry.KINDS[kind]: frozenset(fields) for kind, fields in schema.SCHEMA.items()}


def spec_to_dict(spec: entry.Spec) -> dict[str, typing.Any]:
    """Return a resource as JSON data that passes the schema of its kind."""
    data = {
        name: list(value) if type(value) is tuple else value
        for name, value in spec.as_dict().items()
        if name in FIELDS_BY_TYPE[type(spec)]
    }
    # A route drops empty fields, which would fail the schema when the data is read again.
    return _adapt_to_schema(spec, data)


def spec_from_dict(kind: str, data: typing.Any) -> entry.Spec:
    """Check JSON data against the schema of a kind and return the resource.

    Raises:
        errors.GatewayError: ``resource-invalid``, with every mistake in the detail.
    """
    if kind not in entry.KINDS:
        raise _invalid_resource(f"unknown kind {kind!r}; expected one of {', '.join(entry.KINDS)}")
    if not isinstance(data, dict):
        raise _invalid_resource("the resource is not a JSON object")
    validator = cerberus.Validator(schema.SCHEMA[kind])
    if not validator.validate(data):
        raise _invalid_resource(json.dumps(validator.errors, sort_keys=True))
    return _build_spec(entry.KINDS[kind], validator.document)


def entry_to_bytes(item: entry.Entry) -> bytes:
    """Return an entry as JSON bytes, as stored."""
    return json.dumps(entry_to_dict(item), sort_keys=True).encode()


def entry_to_dict(item: entry.Entry) -> dict[str, typing.Any]:
    """Return an entry as JSON data."""
    return {
        "kind": item.kind,
        "name": item.name,
        "version": item.version,
        "write_id": item.write_id,
        "spec": None if item.spec is None else spec_to_dict(item.spec),
    }


def entry_from_bytes(data: bytes) -> entry.Entry:
    """Decode an entry from JSON bytes.

    Raises:
        errors.GatewayError: ``resource-invalid`` when the data is not an entry.
    """
    try:
        return entry_from_dict(json.loads(data))
    except (KeyError, TypeError, ValueError) as error:
        raise _invalid_resource(f"malformed entry: {type(error).__name__}") from error


def entry_from_dict(data: dict[str, typing.Any]) -> entry.Entry:
    """Decode an entry from JSON data."""
    spec = data["spec"]
    return entry.Entry(
        kind=data["kind"],
        name=data["name"],
        version=int(data["version"]),
        write_id=data["write_id"],
        spec=None if spec is None else spec_from_dict(data["kind"], spec),
    )


def spec_to_bytes(spec: entry.Spec | None) -> bytes:
    """Return a resource as JSON bytes, or no bytes for None."""
    return b"" if spec is None else json.dumps(spec_to_dict(spec), sort_keys=True).encode()


def spec_from_bytes(kind: str, data: bytes) -> entry.Spec | None:
    """Decode a resource from JSON bytes; return None for no bytes.

    Raises:
        errors.GatewayError: ``resource-invalid`` when the data is not a resource of the kind.
    """
    if not data:
        return None
    try:
        return spec_from_dict(kind, json.loads(data))
    except ValueError as error:
        raise _invalid_resource("the resource is not JSON") from error


@functools.singledispatch
def _adapt_to_schema(spec: entry.Spec, data: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return the JSON data of a resource, adapted to the schema of its kind."""
    return data


@_adapt_to_schema.register
def _(spec: entry.route.Route, data: dict[str, typing.Any]) -> dict[str, typing.Any]:
    data["backends"] = [{"service": name, "weight": weight} for name, weight in spec.backends]
    return {name: value for name, value in data.items() if value or name not in ROUTE_FORM_FIELDS}


def _build_spec(spec_type: type, data: dict[str, typing.Any]) -> entry.Spec:
    """Return the resource of a type from checked JSON data.

    Raises:
        errors.GatewayError: ``resource-invalid`` when a route mixes its two forms, by target and
            by host and path, or mixes a service and backends.
    """
    if spec_type is not entry.route.Route:
        return spec_type(**data)
    backends = tuple((item["service"], item["weight"]) for item in data.get("backends", ()))
    has_host_and_prefix = bool(data.get("host")) and bool(data.get("prefix"))
    if bool(data.get("target")) == has_host_and_prefix or bool(data.get("host")) != bool(
        data.get("prefix")
    ):
        raise _invalid_resource("a route needs either a target, or a host and a prefix")
    if bool(data.get("service")) == bool(backends):
        raise _invalid_resource("a route needs either a service or backends")
    if backends and not any(weight for _, weight in backends):
        raise _invalid_resource("at least one backend needs a weight over 0")
    return spec_type(**(data | {"backends": backends}))


def _invalid_resource(detail: str) -> errors.GatewayError:
    return errors.GatewayError(errors.Code.RESOURCE_INVALID, step=STEP, detail=detail)
