"""Which resources a resource refers to."""

from __future__ import annotations

import functools

from yuccahitch.resources import catalog, entry


def find_conflict(changed: entry.Entry, known_entries: catalog.Catalog) -> str:
    """Return why an entry can't stand beside the others, or no text."""
    if changed.spec is None:
        users = [
            f"{kind}/{name}"
            for (kind, name), other in known_entries.entries.items()
            if other.spec is not None and (changed.kind, changed.name) in _references(other.spec)
        ]
        return f"it is used by {', '.join(sorted(users)[:5])}" if users else ""
    missing = [
        f"{kind}/{name}"
        for kind, name in _references(changed.spec)
        if known_entries.find(kind, name) is None
    ]
    return f"it refers to {', '.join(missing)}, which is missing" if missing else ""


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
