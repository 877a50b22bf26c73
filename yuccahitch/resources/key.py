"""Keys that callers present; only their digests are kept."""

from __future__ import annotations

import hashlib

from yuccahitch import records


class Key(records.Record):
    """The digest of a caller's key.

    Attributes:
        name: Public name of the key.
        account: Client account that the key stands for.
        digest: SHA-256 of the key in hexadecimal.
        withdrawn: Whether the key has stopped working.
    """

    __slots__ = ("name", "account", "digest", "withdrawn")

    def __init__(self, *, name: str, account: str, digest: str, withdrawn: bool = False) -> None:
        self.name = name
        self.account = account
        self.digest = digest
        self.withdrawn = withdrawn


def digest_of(secret: str) -> str:
    """Return the digest under which a key is stored."""
    return hashlib.sha256(secret.encode()).hexdigest()
