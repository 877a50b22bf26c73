"""Finds the route and the service of a request."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers import configuration
from yuccahitch.filters import chain, exchange
from yuccahitch.messages import actions, requests
from yuccahitch.resources import route as routes
from yuccahitch.resources import service as services

KINDS = {requests.CHAT: services.MODEL, requests.CALL: services.PLAIN}
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS"))


class Match(chain.Step):
    """Refuses a request that no route serves."""

    __slots__ = ("config",)
    step = "match"

    def __init__(self, config: configuration.Configuration) -> None:
        self.config = config

    def enter(self, item: exchange.Exchange, now: float) -> actions.Action:
        """Set route, service and limits of the answer, or refuse."""
        catalog = self.config.catalog
        request = item.request
        route = catalog.route(request.target, request.path)
        service = None
        if route is not None:
            service = catalog.service(routes.choose_service(route, request.id))
        if route is None or service is None or service.kind != KINDS[request.kind]:
            return self._refuse(errors.Code.ROUTE_UNKNOWN, f"no route for {request.target!r}")
        if route.accounts and item.account.name not in route.accounts:
            return self._refuse(errors.Code.ROUTE_FORBIDDEN, "")
        item.route = route
        item.service = service
        item.idempotent = route.idempotent or request.method in SAFE_METHODS
        if route.timeout_s:
            request.deadline = min(request.deadline, item.began + route.timeout_s)
        if service.kind == services.MODEL:
            item.output_limit = min(
                request.max_tokens or service.max_output_tokens, service.max_output_tokens
            )
        if item.hop is not None and item.hop.charged:
            item.output_limit = min(item.output_limit, item.hop.granted_tokens)
        return actions.Proceed()

    def _refuse(self, code: errors.Code, detail: str) -> actions.Action:
        return actions.Refuse(errors.GatewayError(code, step=self.step, detail=detail))
