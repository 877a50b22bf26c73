"""Keys that callers present; only their digests are stored."""

from __future__ import annotations

import hashlib

from yuccahitch import records


class Key(records.Record):
    """A caller's key, stored as its digest.

    Attributes:
        name: Public name of the key.
        account: Client account that the key authenticates.
        digest: SHA-256 of the key in hexadecimal.
        withdrawn: Whether operators have withdrawn the key, so that it is refused.
    """

    __slots__ = ("name", "account", "digest", "withdrawn")

    def __init__(self, *, name: str, account: str, digest: str, withdrawn: bool = False) -> None:
        self.name = name
        self.account = account
        self.digest = digest
        self.withdrawn = withdrawn


def digest_of(secret: str) -> str:
    """Return the digest that a key is stored under."""
    return hashlib.sha256(secret.encode()).hexdigest()
