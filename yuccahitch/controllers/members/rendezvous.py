"""Rendezvous hashing: decides which of several names is responsible for a subject.

All instances that know the same names come to the same decision without exchanging messages.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
"""

from __future__ import annotations

import typing

import xxhash


def ranked(subject: str, names: typing.Iterable[str]) -> list[str]:
    """Return the names by descending score for the subject; the responsible name is first."""
    return sorted(names, key=lambda name: _score(subject, name), reverse=True)


def owner(subject: str, names: typing.Iterable[str]) -> str:
    """Return the name that is responsible for the subject, or "" if there are no names."""
    return max(names, key=lambda name: _score(subject, name), default="")


def _score(subject: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{subject}\0{name}".encode())
