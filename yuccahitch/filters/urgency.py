"""Refuses requests that are not urgent enough while their service is short of places."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers.admission import arrivals, returns
from yuccahitch.controllers.admission import urgency as urgency_admission
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions


class Urgency(chain.BaseFilter):
    """Refuses a request that is not admitted, before it is sent anywhere or costs quota.

    Args:
        admission: Decides which requests are admitted.
        region: Region of this instance.
    """

    __slots__ = ("admission", "region")
    step = "urgency"

    def __init__(self, admission: urgency_admission.UrgencyAdmission, *, region: str) -> None:
        self.admission = admission
        self.region = region

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Proceed, or refuse with the time after which the caller may return."""
        refusal = self.admission.consider(self._arrival(context, now), now)
        if refusal is None:
            return actions.Proceed()
        error = errors.GatewayError(
            errors.Code.NOT_ADMITTED,
            step=self.step,
            peer=context.service.name,
            detail=refusal.detail,
            retry_after=refusal.retry_after_s,
        )
        return actions.Refuse(error)

    def leave(self, context: request_context.RequestContext, now: float) -> None:
        """Learn how long a request took from its arrival, and whether it was turned away."""
        if context.attempt == 0:
            return
        service, priority = context.service, request_context.effective_priority(context)
        failure = context.last_error
        turned_away = failure is not None and failure.code is errors.Code.UPSTREAM_SHED
        self.admission.record_sent(service, turned_away=turned_away, now=now)
        if context.succeeded and context.upstream and context.attempt == 1:
            self.admission.record_work_time(service, priority, now - context.arrived_at)

    def _arrival(self, context: request_context.RequestContext, now: float) -> arrivals.Arrival:
        """Return what the admission of a request depends on."""
        request = context.request
        return arrivals.Arrival(
            context.service,
            priority=request_context.effective_priority(context),
            account=context.account.name,
            key=returns.request_key(context.account.name, request.digest),
            movable=context.regions is None or bool(context.regions - {self.region}),
            begun=context.origin_version is not None,
            left_s=context.give_up_at - now,
        )
