"""A versioned resource, as stored and exchanged between instances."""

from __future__ import annotations

import typing

from yuccahitch import records
from yuccahitch.resources import account, client, key, rate, route, service, upstream

Spec = typing.Union[
    account.Account,
    client.Client,
    key.Key,
    rate.Rate,
    route.Route,
    service.Service,
    upstream.Upstream,
]

KINDS: dict[str, type] = {
    "account": account.Account,
    "client": client.Client,
    "key": key.Key,
    "rate": rate.Rate,
    "route": route.Route,
    "service": service.Service,
    "upstream": upstream.Upstream,
}
# Kinds that operators write; clients come from the platform's client directory.
OPERATOR_KINDS = tuple(kind for kind in KINDS if kind != "client")


def kind_of(spec: Spec) -> str:
    """Return the kind of a resource, one of ``KINDS``."""
    return next(kind for kind, spec_class in KINDS.items() if type(spec) is spec_class)


class Entry(records.Record):
    """One version of a resource.

    Entries of the same kind and name are totally ordered by ``(version, write_id)``, so that
    instances that receive them in any order end with the same one.

    Attributes:
        kind: Kind of the resource, one of ``KINDS``.
        name: Name of the resource.
        version: Version number, which grows by one with each write.
        write_id: Unique id of the write, which tells whether a write whose reply was lost took
            effect.
        spec: The resource, or None once it is deleted.
    """

    __slots__ = ("kind", "name", "version", "write_id", "spec")

    def __init__(
        self, *, kind: str, name: str, version: int, write_id: str, spec: Spec | None
    ) -> None:
        self.kind = kind
        self.name = name
        self.version = version
        self.write_id = write_id
        self.spec = spec

    @property
    def version_key(self) -> tuple[int, str]:
        """Return the key that orders the entries of one resource, oldest first."""
        return (self.version, self.write_id)
