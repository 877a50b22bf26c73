"""What an upstream in trouble writes into a stream of events, by the name of the fault.

Each is written in place of the fourth of six events, or ahead of the first one.
"""

from __future__ import annotations

BEFORE_FIRST_EVENT = 1
AFTER_THIRD_EVENT = 4
AFTER_LAST_EVENT = 7


class GarbledEvent:
    """Bytes in a stream that are no event of its run.

    Args:
        position: Number of the event that they come before.
        data: The bytes.
    """

    __slots__ = ("position", "data")

    def __init__(self, position: int, data: bytes) -> None:
        self.position = position
        self.data = data


GARBLED_EVENTS = {
    "garbage_first": GarbledEvent(BEFORE_FIRST_EVENT, b"\x16\x03 no event\n\n"),
    "garbage": GarbledEvent(AFTER_THIRD_EVENT, b"\x16\x03 no event\n\n"),
    "garbage_line": GarbledEvent(AFTER_THIRD_EVENT, b"no event\nid: 4\ndata: token 4\n\n"),
    "garbage_ahead": GarbledEvent(AFTER_THIRD_EVENT, b"no event "),
    "garbage_last": GarbledEvent(AFTER_LAST_EVENT, b"no event\n\n"),
    "rest_last": GarbledEvent(AFTER_LAST_EVENT, b"no event"),
    "answer_inside": GarbledEvent(
        AFTER_THIRD_EVENT, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok\n\n"
    ),
    "no_id": GarbledEvent(AFTER_THIRD_EVENT, b"data: token 4\n\n"),
    "empty_id": GarbledEvent(AFTER_THIRD_EVENT, b"id:\ndata: token 4\n\n"),
    "word_id": GarbledEvent(AFTER_THIRD_EVENT, b"id: four\ndata: token 4\n\n"),
    "signed_id": GarbledEvent(AFTER_THIRD_EVENT, b"id: +4\ndata: token 4\n\n"),
    "padded_id": GarbledEvent(AFTER_THIRD_EVENT, b"id: 04\ndata: token 4\n\n"),
    "huge_id": GarbledEvent(AFTER_THIRD_EVENT, b"id: 1" + b"0" * 5000 + b"\ndata: token 4\n\n"),
    "repeated_id": GarbledEvent(AFTER_THIRD_EVENT, b"id: 3\ndata: token 3\n\n"),
    "earlier_id": GarbledEvent(AFTER_THIRD_EVENT, b"id: 1\ndata: token 1\n\n"),
    "two_ids": GarbledEvent(AFTER_THIRD_EVENT, b"id: 4\nid: 5\ndata: token 4\n\n"),
    "id_last": GarbledEvent(AFTER_THIRD_EVENT, b"data: token 4\nid: 4\n\n"),
    "no_data": GarbledEvent(AFTER_THIRD_EVENT, b"id: 4\n\n"),
    "other_field": GarbledEvent(AFTER_THIRD_EVENT, b"id: 4\nretry: 1\ndata: token 4\n\n"),
    "late_version": GarbledEvent(
        AFTER_THIRD_EVENT, b"id: 4\nx-weights-versions: 2\ndata: token 4\n\n"
    ),
    "carriage_return": GarbledEvent(AFTER_THIRD_EVENT, b"id: 4\ndata: token 4\rid: 9\n\n"),
    "no_text": GarbledEvent(AFTER_THIRD_EVENT, b"id: 4\ndata: \xff\xfe\n\n"),
    "comment_inside": GarbledEvent(AFTER_THIRD_EVENT, b"id: 4\n: note\ndata: token 4\n\n"),
    "comment": GarbledEvent(AFTER_THIRD_EVENT, b": still working\n\n"),
    "blank_lines": GarbledEvent(AFTER_THIRD_EVENT, b"\n\n\n"),
}
