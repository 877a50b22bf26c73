"""Base class for plain data classes with slots."""

from __future__ import annotations

import itertools
import typing


def slot_names(record_class: type) -> tuple[str, ...]:
    """Return the names of the slots of a class and its bases, those of the bases first."""
    return tuple(
        itertools.chain.from_iterable(
            vars(base).get("__slots__", ()) for base in record_class.__mro__[::-1]
        )
    )


class Record:
    """Adds equality, a representation and conversion to a dictionary to a class with slots."""

    __slots__ = ()

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return all(getattr(self, slot) == getattr(other, slot) for slot in slot_names(type(self)))

    __hash__ = None  # type: ignore[assignment]

    def __repr__(self) -> str:
        fields = ", ".join(f"{slot}={getattr(self, slot)!r}" for slot in slot_names(type(self)))
        return f"{type(self).__name__}({fields})"

    def as_dict(self) -> dict[str, typing.Any]:
        """Return the values of the slots by name."""
        return {name: getattr(self, name) for name in slot_names(type(self))}
