"""Requests as their admission sees them, and refusals."""

from __future__ import annotations

from yuccahitch import records
from yuccahitch.controllers.admission import levels
from yuccahitch.resources import service as services


class Arrival(records.Record):
    """A request of a caller, as far as its admission depends on it.

    Attributes:
        service: Its service.
        priority: Its priority; 0 is the most urgent.
        account: Name of its client account.
        key: Key by which it is recognized if it returns.
        movable: Whether another region may serve it.
        begun: Whether it goes on with a stream that has begun, so that it is always admitted.
        left_s: Time until it is given up, in seconds.
    """

    __slots__ = ("service", "priority", "account", "key", "movable", "begun", "left_s")

    def __init__(
        self,
        service: services.Service,
        *,
        priority: int,
        account: str,
        key: int,
        movable: bool,
        begun: bool,
        left_s: float,
    ) -> None:
        self.service = service
        self.priority = priority
        self.account = account
        self.key = key
        self.movable = movable
        self.begun = begun
        self.left_s = left_s


class Refusal(records.Record):
    """Why a request is not admitted.

    Attributes:
        level: The level in force.
        retry_after_s: Time after which the caller may return, in seconds.
        detail: One sentence for the caller and the log.
    """

    __slots__ = ("level", "retry_after_s", "detail")

    def __init__(self, level: levels.AdmissionLevel, *, retry_after_s: float, detail: str) -> None:
        self.level = level
        self.retry_after_s = retry_after_s
        self.detail = detail
