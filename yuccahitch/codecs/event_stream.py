"""Splits a stream of server-sent events and checks that each event can be one of a run.

An upstream in trouble may write anything into its stream. Only whole events of the expected form
are passed on; comments and empty lines, which the format lets a reader ignore, are left out.
"""

from __future__ import annotations

import functools
import json
import typing

from yuccahitch import records

EVENT_END = b"\n\n"
# Largest part of an event whose end has not come, in bytes.
MAX_EVENT_BYTES = 65_536
# Largest number of bytes that are ignored between two events.
MAX_IGNORED_BYTES = 16_384
# Digits of the largest event id.
MAX_ID_DIGITS = 18
# Bytes that are kept of the part with the defect.
EXCERPT_BYTES = 60
# Data of the event that ends the stream of a chat.
DONE_DATA = b"[DONE]"


class NumberedEvents(records.Record):
    """Events with an id that grows, and data.

    Attributes:
        last_id: Id of the last event, or -1 before the first one.
        first_field: Name of a field that may precede the id, with a whole number.
    """

    __slots__ = ("last_id", "first_field")

    def __init__(self, *, after: str = "", first_field: str = "") -> None:
        """Expect the events after the one with the id ``after``, or all if it is no number."""
        self.last_id = int(after) if _is_number(after.encode()) else -1
        self.first_field = first_field.encode()


class ChatEvents(records.Record):
    """Events whose data is a JSON object, and a last one that marks the end.

    Attributes:
        is_done: Whether the last event has come.
    """

    __slots__ = ("is_done",)

    def __init__(self) -> None:
        self.is_done = False


class EventReader:
    """Collects the bytes of a stream and returns its sound events.

    Args:
        form: Form of the events.

    Attributes:
        buffered: Bytes after the last whole event.
        defect: What is wrong with the stream, or an empty text; nothing is read after it.
        excerpt: Beginning of the part with the defect, for the log.
        ignored_bytes: Bytes that were ignored since the last event.
    """

    __slots__ = ("form", "buffered", "defect", "excerpt", "ignored_bytes")

    def __init__(self, form: NumberedEvents | ChatEvents) -> None:
        self.form = form
        self.buffered = bytearray()
        self.defect = ""
        self.excerpt = b""
        self.ignored_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Add bytes, and return the whole events that became known, up to the first defect."""
        # The end of an event can begin in what was there before, by all but its last byte.
        searched_from = max(0, len(self.buffered) - len(EVENT_END) + 1)
        self.buffered += data
        end = self.buffered.rfind(EVENT_END, searched_from) + len(EVENT_END)
        if end < len(EVENT_END):
            self._check_size()
            return b""
        blocks = bytes(self.buffered[:end]).split(EVENT_END)[:-1]
        del self.buffered[:end]
        sound = bytearray()
        for block in blocks:
            event = block.lstrip(b"\n")
            if self.defect:
                break
            if _is_ignored(event):
                self._count_ignored(block)
                continue
            self.ignored_bytes = 0
            self.defect = _find_defect(self.form, event.split(b"\n"))
            if self.defect:
                self.excerpt = event[:EXCERPT_BYTES]
            else:
                sound += event + EVENT_END
        self._check_size()
        return bytes(sound)

    def is_cut(self) -> bool:
        """Return whether a stream that ends here ends inside an event."""
        return bool(self.buffered.strip(b"\n"))

    def _count_ignored(self, block: bytes) -> None:
        """Count what is left out between events, of which a stream may have only so much."""
        self.ignored_bytes += len(block) + len(EVENT_END)
        if self.ignored_bytes > MAX_IGNORED_BYTES:
            self.defect = "the stream has too much between two events"
            self.excerpt = block[:EXCERPT_BYTES]

    def _check_size(self) -> None:
        if len(self.buffered) > MAX_EVENT_BYTES and not self.defect:
            self.defect = "an event of the stream is too large"


@functools.singledispatch
def _find_defect(form: typing.Any, lines: list[bytes]) -> str:
    """Return why some lines are no event of this form, or an empty text."""
    raise TypeError(type(form))


@_find_defect.register
def _(form: NumberedEvents, lines: list[bytes]) -> str:
    fields = [_split_field(line) for line in lines]
    if form.first_field and fields[0][0] == form.first_field and _is_number(fields[0][1]):
        del fields[0]
    names = [name for name, _ in fields]
    if names[:1] != [b"id"] or set(names[1:]) != {b"data"}:
        return "an event is not an id with data"
    if not all(_is_text(value) for _, value in fields):
        return "an event holds bytes that are no text"
    id_text = fields[0][1]
    if not _is_number(id_text):
        return "the id of an event is no number"
    if int(id_text) <= form.last_id:
        return f"an event follows the one with id {form.last_id}"
    form.last_id = int(id_text)
    return ""


@_find_defect.register
def _(form: ChatEvents, lines: list[bytes]) -> str:
    if form.is_done:
        return "an event follows the last one"
    fields = [_split_field(line) for line in lines]
    if {name for name, _ in fields} != {b"data"}:
        return "an event is not data alone"
    data = b"\n".join(value for _, value in fields)
    if data == DONE_DATA:
        form.is_done = True
        return ""
    return "" if _is_json_object(data) else "the data of an event is no JSON object"


def _split_field(line: bytes) -> tuple[bytes, bytes]:
    """Return the name and the value of a field, without the space that may precede the value."""
    name, _, value = line.partition(b":")
    return name, value.removeprefix(b" ")


def _is_ignored(event: bytes) -> bool:
    """Return whether a block holds no more than comments."""
    return all(line.startswith(b":") or not line for line in event.split(b"\n"))


def _is_number(text: bytes) -> bool:
    """Return whether a text is a whole number as it is usually written."""
    is_plain = text.isdigit() and len(text) <= MAX_ID_DIGITS
    return is_plain and (text == b"0" or not text.startswith(b"0"))


def _is_text(value: bytes) -> bool:
    """Return whether a value is text on a single line."""
    try:
        return "\r" not in value.decode()
    except UnicodeDecodeError:
        return False


def _is_json_object(data: bytes) -> bool:
    try:
        return type(json.loads(data)) is dict
    except ValueError:
        return False
