"""Finds the route and the service of a request, in the resource catalog."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers.config import configuration
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions, requests
from yuccahitch.resources import route as routes
from yuccahitch.resources import service as services

SERVICE_KINDS = {requests.CHAT: services.MODEL, requests.CALL: services.PLAIN}
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))


class Match(chain.BaseFilter):
    """Refuses a request that no route serves, or whose route excludes its client account.

    Args:
        config: Provides the resource catalog.
    """

    __slots__ = ("config",)
    step = "match"

    def __init__(self, config: configuration.Configuration) -> None:
        self.config = config

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Set route, service, deadline and token limit of the answer, or refuse."""
        catalog = self.config.catalog
        request = context.request
        route = catalog.route(request.target, request.path)
        service = None
        if route is not None:
            service = catalog.service(routes.choose_service(route, request.id))
        if route is None or service is None or service.kind != SERVICE_KINDS[request.kind]:
            return self._refuse(
                errors.Code.ROUTE_UNKNOWN,
                f"no route serves {request.target!r} for this kind of request",
            )
        if route.accounts and context.account.name not in route.accounts:
            return self._refuse(errors.Code.ROUTE_FORBIDDEN, "")
        context.route = route
        context.service = service
        context.idempotent = route.idempotent or request.method in SAFE_METHODS
        if route.timeout_s:
            request.deadline = min(request.deadline, context.arrived_at + route.timeout_s)
        if service.kind == services.MODEL:
            context.output_token_limit = min(
                request.max_tokens or service.max_output_tokens, service.max_output_tokens
            )
        if context.hop is not None and context.hop.charged:
            context.output_token_limit = min(context.output_token_limit, context.hop.granted_tokens)
        return actions.Proceed()

    def _refuse(self, code: errors.Code, detail: str) -> actions.Action:
        return actions.Refuse(errors.GatewayError(code, step=self.step, detail=detail))
