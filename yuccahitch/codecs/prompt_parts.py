"""Bounds what callers say of the parts of their prompts, as tables are keyed by it."""

from __future__ import annotations

import itertools
import typing

import xxhash

# Parts of a prompt that are told apart; those beyond count as one with the last.
MAX_PARTS = 64
# Longer ids are replaced by their hashes.
MAX_ID_CHARACTERS = 64

# The id of a part and its length in tokens.
Part = tuple[str, int]


def bound(parts: typing.Iterable[Part]) -> tuple[Part, ...]:
    """Return parts with ids of bounded length, at most MAX_PARTS.

    Args:
        parts: The parts of a prompt in their order; the last one is the request's own.
    """
    named = [(_bounded_id(name), tokens) for name, tokens in parts]
    if len(named) <= MAX_PARTS:
        return tuple(named)
    joined_tokens = sum(tokens for _, tokens in itertools.islice(named, MAX_PARTS - 1, None))
    return (*named[: MAX_PARTS - 1], (named[-1][0], joined_tokens))


def _bounded_id(name: str) -> str:
    """Return the id of a part, or its hash if it is long."""
    if len(name) <= MAX_ID_CHARACTERS:
        return name
    return xxhash.xxh3_128_hexdigest(name.encode(errors="surrogateescape"))
