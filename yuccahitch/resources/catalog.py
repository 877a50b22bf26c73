"""All resources that an instance knows, indexed for lookup by the filters."""

from __future__ import annotations

import typing

import xxhash

from yuccahitch.resources import account, client, entry, key, rate, route, service, upstream

DIGEST_MASK = (1 << 64) - 1


class Catalog:
    """Holds the newest entry of each resource; an older one never replaces a newer one.

    Attributes:
        entries: Newest entry by kind and name; deleted resources stay as tombstones.
        digest: Sum of the hashes of all entries; equal catalogs have equal digests.
        arrival_numbers: Arrival numbers of the entries by kind and name, in the order of arrival;
            a peer asks for the entries after the last number that it has received.
        arrival_count: Number of entries merged so far, which numbers the arrivals.
        keys_by_digest: Callers' keys by their digest.
        routes_by_target: Routes by target.
        routes_by_host: Routes by host and path, grouped by host, the longest prefix first.
        upstreams_by_service: Upstreams by service and by name.
    """

    __slots__ = (
        "entries",
        "digest",
        "arrival_numbers",
        "arrival_count",
        "keys_by_digest",
        "routes_by_target",
        "routes_by_host",
        "upstreams_by_service",
    )

    def __init__(self) -> None:
        self.entries: dict[tuple[str, str], entry.Entry] = {}
        self.digest = 0
        self.arrival_numbers: dict[tuple[str, str], int] = {}
        self.arrival_count = 0
        self.keys_by_digest: dict[str, key.Key] = {}
        self.routes_by_target: dict[str, route.Route] = {}
        self.routes_by_host: dict[str, list[route.Route]] = {}
        self.upstreams_by_service: dict[str, dict[str, upstream.Upstream]] = {}

    def merge(self, new: entry.Entry) -> bool:
        """Store and index an entry if it is newer than the known one.

        Args:
            new: The entry.

        Returns:
            Whether the entry was newer.
        """
        resource_id = (new.kind, new.name)
        old = self.entries.get(resource_id)
        if old is not None and new.version_key <= old.version_key:
            return False
        if old is not None:
            self.digest = (self.digest - _hash(old)) & DIGEST_MASK
            self._unindex(old)
        self.digest = (self.digest + _hash(new)) & DIGEST_MASK
        self.entries[resource_id] = new
        self.arrival_count += 1
        self.arrival_numbers.pop(resource_id, None)
        self.arrival_numbers[resource_id] = self.arrival_count
        self._index(new)
        return True

    def entries_after(self, after_arrival: int) -> list[entry.Entry]:
        """Return the entries that arrived after an arrival number, oldest first."""
        newer_entries = []
        for resource_id, number in reversed(self.arrival_numbers.items()):
            if number <= after_arrival:
                break
            newer_entries.append(self.entries[resource_id])
        return newer_entries[::-1]

    def find(self, kind: str, name: str) -> entry.Spec | None:
        """Return a resource that is not deleted, or None."""
        known = self.entries.get((kind, name))
        return known.spec if known is not None else None

    def route(self, target: str, path: str) -> route.Route | None:
        """Return the route of a target, else the route of a host and path, else None.

        Args:
            target: Model, service or host that the caller names.
            path: Path of the request, which selects among the routes of a host.
        """
        return self.routes_by_target.get(target) or route.match_path(
            self.routes_by_host.get(target, ()), path
        )

    def account(self, name: str) -> account.Account | None:
        """Return a client account, or None."""
        return typing.cast("account.Account | None", self.find("account", name))

    def client(self, name: str) -> client.Client | None:
        """Return an entry of the client directory, or None."""
        return typing.cast("client.Client | None", self.find("client", name))

    def rate(self, name: str) -> rate.Rate | None:
        """Return a client account's rate, or None."""
        return typing.cast("rate.Rate | None", self.find("rate", name))

    def service(self, name: str) -> service.Service | None:
        """Return a service, or None."""
        return typing.cast("service.Service | None", self.find("service", name))

    def upstream(self, name: str) -> upstream.Upstream | None:
        """Return an upstream, or None."""
        return typing.cast("upstream.Upstream | None", self.find("upstream", name))

    def _index(self, new: entry.Entry) -> None:
        spec = new.spec
        if spec is None:
            return
        if new.kind == "key":
            self.keys_by_digest[spec.digest] = spec
        elif new.kind == "route" and spec.host:
            self.routes_by_host[spec.host] = route.longest_prefix_first(
                [*self.routes_by_host.get(spec.host, ()), spec]
            )
        elif new.kind == "route":
            self.routes_by_target[spec.target] = spec
        elif new.kind == "upstream":
            self.upstreams_by_service.setdefault(spec.service, {})[spec.name] = spec

    def _unindex(self, old: entry.Entry) -> None:
        spec = old.spec
        if spec is None:
            return
        if old.kind == "key" and self.keys_by_digest.get(spec.digest) is spec:
            del self.keys_by_digest[spec.digest]
        elif old.kind == "route" and spec.host:
            self.routes_by_host[spec.host].remove(spec)
        elif old.kind == "route" and self.routes_by_target.get(spec.target) is spec:
            del self.routes_by_target[spec.target]
        elif old.kind == "upstream":
            self.upstreams_by_service.get(spec.service, {}).pop(spec.name, None)


def _hash(resource: entry.Entry) -> int:
    text = f"{resource.kind}\0{resource.name}\0{resource.version}\0{resource.write_id}"
    return xxhash.xxh64_intdigest(text.encode())
