"""Rendezvous hashing: which of several names is responsible for a subject.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
"""

from __future__ import annotations

import typing

import xxhash


def ranked(subject: str, names: typing.Iterable[str]) -> list[str]:
    """Return the names, the most responsible one for the subject first."""
    return sorted(names, key=lambda name: _score(subject, name), reverse=True)


def owner(subject: str, names: typing.Iterable[str]) -> str:
    """Return the name that is responsible for the subject, or no text without names."""
    return max(names, key=lambda name: _score(subject, name), default="")


def _score(subject: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{subject}\0{name}".encode())
