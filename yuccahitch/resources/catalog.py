"""All resources that an instance knows, with the indexes that filters need."""

from __future__ import annotations

import typing

import xxhash

from yuccahitch.resources import account, client, entry, key, rate, route, service, upstream

DIGEST_MASK = (1 << 64) - 1


class Catalog:
    """Holds the newest entry of each resource; an older one never replaces a newer one.

    Attributes:
        entries: Newest entry by kind and name; deleted ones stay as tombstones.
        digest: Sum of the hashes of all entries; equal catalogs have equal digests.
        routes: Routes by target.
        by_host: Routes by host and path, by host, the longest prefix first.
        order: Entries in the order of their arrival, for passing on what is new.
    """

    __slots__ = ("entries", "digest", "order", "arrivals", "keys", "routes", "by_host", "replicas")

    def __init__(self) -> None:
        self.entries: dict[tuple[str, str], entry.Entry] = {}
        self.digest = 0
        self.order: dict[tuple[str, str], int] = {}
        self.arrivals = 0
        self.keys: dict[str, key.Key] = {}
        self.routes: dict[str, route.Route] = {}
        self.by_host: dict[str, list[route.Route]] = {}
        self.replicas: dict[str, dict[str, upstream.Upstream]] = {}

    def merge(self, new: entry.Entry) -> bool:
        """Take an entry in when it is newer than what is known.

        Returns:
            Whether the entry was newer.
        """
        place = (new.kind, new.name)
        old = self.entries.get(place)
        if old is not None and new.rank <= old.rank:
            return False
        if old is not None:
            self.digest = (self.digest - _hash(old)) & DIGEST_MASK
            self._unindex(old)
        self.digest = (self.digest + _hash(new)) & DIGEST_MASK
        self.entries[place] = new
        self.arrivals += 1
        self.order.pop(place, None)
        self.order[place] = self.arrivals
        self._index(new)
        return True

    def since(self, arrival: int) -> list[entry.Entry]:
        """Return the entries that arrived after the given arrival number, oldest first."""
        late = []
        for place, number in reversed(self.order.items()):
            if number <= arrival:
                break
            late.append(self.entries[place])
        return late[::-1]

    def find(self, kind: str, name: str) -> entry.Spec | None:
        """Return a resource that is not deleted, or None."""
        found = self.entries.get((kind, name))
        return found.spec if found is not None else None

    def route(self, target: str, path: str) -> route.Route | None:
        """Return the route to a target, or that of a host and path, or None."""
        return self.routes.get(target) or route.first(self.by_host.get(target, ()), path)

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
            self.keys[spec.digest] = spec
        elif new.kind == "route" and spec.host:
            self.by_host[spec.host] = route.by_prefix([*self.by_host.get(spec.host, ()), spec])
        elif new.kind == "route":
            self.routes[spec.target] = spec
        elif new.kind == "upstream":
            self.replicas.setdefault(spec.service, {})[spec.name] = spec

    def _unindex(self, old: entry.Entry) -> None:
        spec = old.spec
        if spec is None:
            return
        if old.kind == "key" and self.keys.get(spec.digest) is spec:
            del self.keys[spec.digest]
        elif old.kind == "route" and spec.host:
            self.by_host[spec.host].remove(spec)
        elif old.kind == "route" and self.routes.get(spec.target) is spec:
            del self.routes[spec.target]
        elif old.kind == "upstream":
            self.replicas.get(spec.service, {}).pop(spec.name, None)


def _hash(item: entry.Entry) -> int:
    text = f"{item.kind}\0{item.name}\0{item.version}\0{item.write_id}"
    return xxhash.xxh64_intdigest(text.encode())
