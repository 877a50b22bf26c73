"""Header values as text, in the form that aiohttp gives them in.

A value is read as UTF-8; bytes that are not valid become lone surrogates, so that the text stands
for any bytes.
"""

from __future__ import annotations

ENCODING = "utf-8"
ERROR_HANDLER = "surrogateescape"


def to_bytes(text: str) -> bytes:
    """Return the bytes of a header's name or value.

    Raises:
        UnicodeEncodeError: When the text does not come from a header.
    """
    return text.encode(ENCODING, ERROR_HANDLER)


def from_bytes(raw: bytes) -> str:
    """Return the text of a header's name or value."""
    return raw.decode(ENCODING, ERROR_HANDLER)
