"""Refuses requests that crashed several upstreams."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers import suspects
from yuccahitch.filters import chain, exchange
from yuccahitch.messages import actions


class Poison(chain.Step):
    """Compares the request's fingerprint with those seen at crashes."""

    __slots__ = ("table",)
    step = "poison"

    def __init__(self, table: suspects.Suspects) -> None:
        self.table = table

    def enter(self, item: exchange.Exchange, now: float) -> actions.Action:
        """Refuse a request whose fingerprint crashed several upstreams."""
        if self.table.refused_for(fingerprint(item), now) <= 0:
            return actions.Proceed()
        return actions.Refuse(refusal(item, self.table, now))


def refusal(item: exchange.Exchange, table: suspects.Suspects, now: float) -> errors.GatewayError:
    """Return the refusal of a request that crashed several upstreams."""
    ran = item.reached or bool(item.request.operation_key)
    return errors.GatewayError(
        errors.Code.POISON,
        step=Poison.step,
        run=errors.RunStatus.MAY_HAVE_RUN if ran else errors.RunStatus.NOT_RUN,
        retry_after=table.refused_for(fingerprint(item), now),
    )


def fingerprint(item: exchange.Exchange) -> str:
    """Return what identifies a request that is sent again."""
    return f"{item.account.name}:{item.request.digest}"
