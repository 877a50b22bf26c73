"""Chooses the upstream or the instance for a request of a published route."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers.placement import assignments, balance, choices
from yuccahitch.controllers.versions import served_versions
from yuccahitch.filters import chain, place, request_context
from yuccahitch.messages import actions
from yuccahitch.resources import route as routes

# Time after which instances have heard that an announced version serves, and by which callers that
# wait for it come back spread, in seconds.
SERVING_KNOWN_S = 0.3
RETURN_SPREAD_S = 0.2


class Assign(chain.BaseFilter):
    """Counts a request at the chosen upstream until the upstream is done with it.

    Args:
        policy: Makes the placement decisions and counts the requests at each upstream.
        versions: The software versions at which resumable streams may begin.
    """

    __slots__ = ("policy", "versions")
    step = balance.STEP

    def __init__(self, policy: balance.Balancer, versions: served_versions.ServedVersions) -> None:
        self.policy = policy
        self.versions = versions

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Choose an upstream or an instance, or refuse."""
        context.upstream = ""
        context.instance = ""
        context.versions = self._wanted_versions(context, now)
        choice = self.policy.place(_placement_task(context, now), now)
        if type(choice) is choices.Refused and choice.error.code is errors.Code.NO_UPSTREAM:
            self._postpone(choice.error, context, now)
        return place.apply_choice(choice, context)

    def record_received(self, context: request_context.RequestContext, now: float) -> None:
        """Release the request from its upstream, and learn times from the whole answer."""
        self._learn_times(context, now)
        self.policy.release(context.id, now)

    def leave(self, context: request_context.RequestContext, now: float) -> None:
        """Release the request from its upstream; learn times from a success."""
        if context.succeeded:
            self._learn_times(context, now)
        self.policy.release(context.id, now)

    def _learn_times(self, context: request_context.RequestContext, now: float) -> None:
        """Learn times from a whole answer, if the request is still counted at its upstream."""
        self.policy.record_work_time(context.id, now)
        if context.attempt == 1:
            began_at = context.answer_began_at or None
            self.policy.record_answer(context.id, began_at=began_at, now=now)

    def _postpone(
        self, error: errors.GatewayError, context: request_context.RequestContext, now: float
    ) -> None:
        """Let the caller of a new stream come back once a version that is announced serves."""
        is_new = context.origin_version is None and context.hop is None
        if not is_new or context.route.repeat is not routes.RepeatPolicy.RESUMABLE:
            return
        service = context.service.name
        serves = any(
            self.policy.registry.serves(service, version, now, regions=context.regions)
            for version in context.versions
        )
        wait_s = self.versions.next_begin_s(service, now)
        if wait_s is not None and not serves:
            spread_s = self.policy.rng.random() * RETURN_SPREAD_S
            error.retry_after = wait_s + SERVING_KNOWN_S + spread_s

    def _wanted_versions(
        self, context: request_context.RequestContext, now: float
    ) -> frozenset[str] | None:
        """Return the software versions that may get a request; None means every one."""
        if context.origin_version is not None:
            return frozenset((context.origin_version,))
        if context.hop is not None:
            return None if context.hop.versions is None else frozenset(context.hop.versions)
        if context.route.repeat is routes.RepeatPolicy.RESUMABLE:
            return self.versions.beginnable(context.service.name, now)
        return None


def _placement_task(
    context: request_context.RequestContext, now: float
) -> assignments.PlacementRequest:
    """Return the properties of a request that its placement depends on."""
    request = context.request
    return assignments.PlacementRequest(
        request_id=context.id,
        service=context.service,
        regions=context.regions,
        parts=request.prompt_parts,
        body_bytes=len(request.body),
        left_s=context.give_up_at - now,
        avoid=tuple(context.failed_targets)
        + (context.hop.avoid if context.hop is not None else ()),
        local_only=context.hop is not None,
        versions=context.versions,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.max_tokens,
    )
