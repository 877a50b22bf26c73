"""Finds the regions where a request's data may reside, by the resource catalog."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers.config import configuration
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions
from yuccahitch.resources import catalog


class Residency(chain.BaseFilter):
    """Intersects the regions that client account, route, client directory and sender allow.

    The instance that a request enters by and the one that dispatches it both run this filter, each
    with its own catalog: a request is served only where both allow it.

    Args:
        config: Provides the resource catalog.
        region: Region of this instance.
    """

    __slots__ = ("config", "region")
    step = "residency"

    def __init__(self, config: configuration.Configuration, *, region: str) -> None:
        self.config = config
        self.region = region

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Set the allowed regions, or refuse; a forwarded request must be in one of them."""
        context.regions = allowed_regions(context, self.config.catalog)
        if context.regions is not None and not context.regions:
            return self._refuse("client account, route and client directory allow no common region")
        forwarded = context.hop is not None and not context.hop.owned
        if forwarded and context.regions is not None and self.region not in context.regions:
            return self._refuse(f"the request's data may not reside in region {self.region}")
        return actions.Proceed()

    def _refuse(self, detail: str) -> actions.Action:
        error = errors.GatewayError(
            errors.Code.RESIDENCY, step=self.step, peer=self.region, detail=detail
        )
        return actions.Refuse(error)


def allowed_regions(
    context: request_context.RequestContext, resources: catalog.Catalog
) -> frozenset[str] | None:
    """Return the regions that the current catalog allows for a request; None means every one."""
    account = resources.account(context.account.name) or context.account
    route = resources.route(context.request.target, context.request.path) or context.route
    client = resources.client(account.client) if account.client else None
    restrictions = [
        frozenset(regions)
        for regions in (
            account.residency,
            route.regions,
            (client.home,) if client is not None and client.home else (),
            context.hop.regions if context.hop is not None else (),
        )
        if regions
    ]
    return frozenset.intersection(*restrictions) if restrictions else None
