"""Takes up a request that another instance handed over; it is never handed on."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers import published
from yuccahitch.filters import chain, exchange
from yuccahitch.messages import actions
from yuccahitch.resources import account, route

MAX_HOPS = 1


class HandedOver(chain.Step):
    """Sets what the sender found out, and checks again where the data may reside.

    Args:
        config: The configuration in force.
        region: Region of this instance.
    """

    __slots__ = ("config", "region")
    step = "handed-over"

    def __init__(self, config: published.Published, *, region: str) -> None:
        self.config = config
        self.region = region

    def enter(self, item: exchange.Exchange, now: float) -> actions.Action:
        """Go on with what the hop says, or refuse."""
        hop = item.hop
        if hop.hops > MAX_HOPS:
            return self._refuse(errors.Code.LOOP, "it was handed over before")
        if hop.regions and self.region not in hop.regions:
            return self._refuse(errors.Code.RESIDENCY, f"the data may not be in {self.region}")
        service = self.config.current.services.get(hop.service)
        if service is None:
            return self._refuse(errors.Code.NO_UPSTREAM, f"no service {hop.service!r} here")
        item.service = service
        item.regions = frozenset(hop.regions) if hop.regions else None
        item.account = account.Account(name=hop.account)
        # The sender decides about repeats: here the request is sent once.
        item.route = route.Route(
            name="",
            repeat=route.RepeatPolicy.UNSAFE,
            idempotent=False,
            attempts=1,
            priority=hop.priority,
        )
        item.idempotent = False
        return actions.Proceed()

    def _refuse(self, code: errors.Code, detail: str) -> actions.Action:
        return actions.Refuse(errors.GatewayError(code, step=self.step, detail=detail))
