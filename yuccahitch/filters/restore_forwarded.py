"""Restores the context of a request that a peer forwarded; it is never forwarded again."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers.config import published
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions
from yuccahitch.resources import account, route

MAX_HOPS = 1


class RestoreForwarded(chain.BaseFilter):
    """Sets service, regions, account and route from the hop, and checks the regions again.

    Args:
        config: Holds the published configuration in force.
        region: Region of this instance.
    """

    __slots__ = ("config", "region")
    step = "handed-over"

    def __init__(self, config: published.PublishedConfig, *, region: str) -> None:
        self.config = config
        self.region = region

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Fill the context from the hop, or refuse."""
        hop = context.hop
        if hop.hops > MAX_HOPS:
            return self._refuse(errors.Code.LOOP, "the request was forwarded more than once")
        if hop.regions and self.region not in hop.regions:
            return self._refuse(
                errors.Code.RESIDENCY, f"data may not reside in region {self.region}"
            )
        service = self.config.current.services.get(hop.service)
        if service is None:
            return self._refuse(errors.Code.NO_UPSTREAM, f"unknown service {hop.service!r}")
        context.service = service
        context.regions = frozenset(hop.regions) if hop.regions else None
        context.account = account.Account(name=hop.account)
        # Only the sender retries: this instance makes one attempt.
        context.route = route.Route(
            name="",
            repeat=route.RepeatPolicy.UNSAFE,
            idempotent=False,
            attempts=1,
            priority=hop.priority,
            streams=hop.streams,
        )
        context.idempotent = False
        return actions.Proceed()

    def _refuse(self, code: errors.Code, detail: str) -> actions.Action:
        return actions.Refuse(errors.GatewayError(code, step=self.step, detail=detail))
