"""Finds the route by host and path, and the service among those that share it."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers import published
from yuccahitch.filters import chain, exchange
from yuccahitch.messages import actions
from yuccahitch.resources import route as routes


class Routing(chain.Step):
    """Refuses a request that no route serves.

    Args:
        config: The configuration in force.
    """

    __slots__ = ("config",)
    step = "route"

    def __init__(self, config: published.Published) -> None:
        self.config = config

    def enter(self, item: exchange.Exchange, now: float) -> actions.Action:
        """Set route and service, or refuse."""
        current = self.config.current
        request = item.request
        route = current.route(request.target, request.path)
        if route is None:
            return self._refuse(errors.Code.ROUTE_UNKNOWN, "no route for host and path")
        service = current.services.get(routes.choose_service(route, request.id))
        if service is None:
            return self._refuse(errors.Code.NO_UPSTREAM, f"{route.name} names no known service")
        item.route = route
        item.service = service
        item.idempotent = route.idempotent
        if route.timeout_s:
            item.give_up_at = min(item.give_up_at, item.began + route.timeout_s)
        return actions.Proceed()

    def _refuse(self, code: errors.Code, detail: str) -> actions.Action:
        return actions.Refuse(errors.GatewayError(code, step=self.step, detail=detail))
