"""Finds the route of a request by host and path, and one of the services that share it."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers.config import published
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions, requests
from yuccahitch.resources import route as routes


class Routing(chain.BaseFilter):
    """Refuses a request that no route of the published configuration serves.

    Args:
        config: Holds the published configuration in force.
    """

    __slots__ = ("config",)
    step = "route"

    def __init__(self, config: published.PublishedConfig) -> None:
        self.config = config

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Set route, service and the time of giving up, or refuse."""
        current = self.config.current
        request = context.request
        route = current.route(request.target, request.path)
        if route is None:
            return self._refuse(errors.Code.ROUTE_UNKNOWN, "no route matches the host and path")
        service = current.services.get(routes.choose_service(route, _stream_id(request, route)))
        if service is None:
            return self._refuse(
                errors.Code.NO_UPSTREAM, f"route {route.name} refers to an unknown service"
            )
        context.route = route
        context.service = service
        context.idempotent = route.idempotent
        if route.timeout_s:
            context.give_up_at = min(context.give_up_at, context.arrived_at + route.timeout_s)
        return actions.Proceed()

    def _refuse(self, code: errors.Code, detail: str) -> actions.Action:
        return actions.Refuse(errors.GatewayError(code, step=self.step, detail=detail))


def _stream_id(request: requests.Request, route: routes.Route) -> str:
    """Return the id that selects the service: a stream goes on at the one that began it."""
    is_resumable = route.repeat is routes.RepeatPolicy.RESUMABLE
    return (is_resumable and request.resumes) or request.id
