"""Finds the regions where a request's data may reside, by route and client account."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions


class AllowedRegions(chain.BaseFilter):
    """Sets the regions that both the route and the client account allow."""

    __slots__ = ()
    step = "homes"

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Set the allowed regions, or refuse if route and account have none in common."""
        restrictions = [
            frozenset(regions)
            for regions in (context.route.regions, context.account.residency)
            if regions
        ]
        context.regions = frozenset.intersection(*restrictions) if restrictions else None
        if context.regions is not None and not context.regions:
            error = errors.GatewayError(
                errors.Code.NO_UPSTREAM,
                step=self.step,
                detail="route and client account allow no common region",
            )
            return actions.Refuse(error)
        return actions.Proceed()
