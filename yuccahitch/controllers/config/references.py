"""Checks that the references between resources stay valid when a resource changes."""

from __future__ import annotations

import functools

from yuccahitch.resources import catalog, entry


def find_conflict(changed: entry.Entry, current_catalog: catalog.Catalog) -> str:
    """Return why a change would break a reference between resources, or an empty string.

    Args:
        changed: The entry to write; without a spec it deletes the resource.
        current_catalog: Catalog before the change.
    """
    if changed.spec is None:
        users = [
            f"{kind}/{name}"
            for (kind, name), other in current_catalog.entries.items()
            if other.spec is not None and (changed.kind, changed.name) in _references(other.spec)
        ]
        return f"the resource is used by {', '.join(sorted(users)[:5])}" if users else ""
    missing = [
        f"{kind}/{name}"
        for kind, name in _references(changed.spec)
        if current_catalog.find(kind, name) is None
    ]
    return f"the resource refers to {', '.join(missing)}, which does not exist" if missing else ""


@functools.singledispatch
def _references(spec: entry.Spec) -> list[tuple[str, str]]:
    return []


@_references.register
def _(spec: entry.key.Key) -> list[tuple[str, str]]:
    return [("account", spec.account)]


@_references.register
def _(spec: entry.rate.Rate) -> list[tuple[str, str]]:
    return [("account", spec.name)]


@_references.register
def _(spec: entry.route.Route) -> list[tuple[str, str]]:
    account_references = [("account", name) for name in (*spec.accounts, spec.account) if name]
    service_names = [name for name, _ in spec.backends] or [spec.service]
    return [*(("service", name) for name in service_names), *account_references]


@_references.register
def _(spec: entry.upstream.Upstream) -> list[tuple[str, str]]:
    return [("service", spec.service)]
