"""Finds the software version that began a stream which a caller takes up.

What two versions write doesn't fit together. Where it is not known which one began the stream, the
request is refused; it is never sent to an upstream on a guess.
"""

from __future__ import annotations

import functools
import typing

from yuccahitch import errors, events
from yuccahitch.controllers.config import published
from yuccahitch.controllers.upstream_state import replicas
from yuccahitch.controllers.versions import stream_origin, stream_origins, take_ups
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions, answers
from yuccahitch.resources import route as routes

# Longest wait for the record of a stream, in seconds.
MAX_WAIT_S = 0.7
# Time that a wait leaves for the request, in seconds.
WAIT_RESERVE_S = 0.1
# Time after which a caller may try again whose stream's origin may become known, in seconds.
RETRY_AFTER_S = 0.4
# The same while the store is out of reach, in seconds: it may stay so for longer than a few tries.
UNREACHED_RETRY_AFTER_S = 2.0
# Longest id of the request that began a stream.
MAX_ID_LENGTH = 200


class Resumption(chain.BaseFilter):
    """Sets the origin of a stream that a caller takes up, or refuses it.

    Args:
        config: Holds the published configuration in force.
        registry: The registered upstreams.
        streams: Finds the origins of streams.
        origins: Remembers the streams of this instance.
    """

    __slots__ = ("config", "registry", "streams", "origins")
    step = "resumption"

    def __init__(
        self,
        *,
        config: published.PublishedConfig,
        registry: replicas.ReplicaRegistry,
        streams: take_ups.TakeUps,
        origins: stream_origins.StreamOrigins,
    ) -> None:
        self.config = config
        self.registry = registry
        self.streams = streams
        self.origins = origins

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Proceed with a new stream; find the origin of one that is taken up, or wait for it."""
        if context.route.repeat is not routes.RepeatPolicy.RESUMABLE:
            return actions.Proceed()
        request, account = context.request, context.account.name
        if not (request.resume_after or request.resumes):
            context.stream_key = stream_origin.stream_key(account, request.id)
            return actions.Proceed()
        if request.resumes is not None and not _is_valid_id(request.resumes):
            error = errors.GatewayError(errors.Code.RESUMPTION_INVALID, step=self.step)
            return actions.Refuse(error)
        is_named = request.resumes is not None
        context.stream_key = stream_origin.stream_key(account, request.resumes or request.id)
        key = context.stream_key if is_named else None
        origin = self.streams.find(key, context.service.name, now)
        if origin is not None:
            return self.go_on(context, origin, now)
        wait_until = min(now + MAX_WAIT_S, context.give_up_at - WAIT_RESERVE_S)
        may_learn = self.streams.may_learn(key, context.service.name, now)
        if not may_learn or wait_until <= now:
            return self.refuse(context, errors.Code.ORIGIN_UNKNOWN, now)
        self.streams.wait(context.id, take_ups.Wait(key, context.service.name, wait_until))
        return actions.Perform(actions.AwaitOrigin(wait_until=wait_until))

    def resume(
        self, context: request_context.RequestContext, reply: typing.Any, now: float
    ) -> actions.Action:
        """Go on with the result of the wait."""
        return _resume(reply, self, context, now)

    def leave(self, context: request_context.RequestContext, now: float) -> None:
        """End the wait of a request that is over, and record the end of its stream."""
        self.streams.stop_waiting(context.id)
        if context.stream is not None:
            self.origins.end(context.stream, now, complete=context.succeeded)

    def go_on(
        self, context: request_context.RequestContext, origin: stream_origin.Origin, now: float
    ) -> actions.Action:
        """Go on where a stream began, unless the route has left that service or it is gone."""
        service = self.config.current.services.get(origin.service)
        if service is None or origin.service not in routes.services_of(context.route):
            return self.refuse(
                context, errors.Code.ORIGIN_GONE, now, detail=f"service {origin.service!r}"
            )
        context.service = service
        context.origin_version = origin.version
        if not self.registry.serves(origin.service, origin.version, now, regions=context.regions):
            return self.refuse(
                context, errors.Code.ORIGIN_GONE, now, detail=f"version {origin.version!r}"
            )
        self.streams.log(
            events.Event.ORIGIN_FOUND,
            **_fields(context, now),
            software_version=origin.version,
            source=origin.source.value,
        )
        return actions.Proceed()

    def refuse(
        self,
        context: request_context.RequestContext,
        code: errors.Code,
        now: float,
        *,
        detail: str = "",
    ) -> actions.Action:
        """Refuse to go on with a stream, with the reason in the log."""
        fields = {"code": code.wire} | ({"detail": detail} if detail else {})
        self.streams.log(events.Event.ORIGIN_MISSED, **_fields(context, now), **fields)
        retry_after = None
        if code is errors.Code.ORIGIN_UNKNOWN:
            hears_news = self.streams.versions.hears_of_store(now)
            retry_after = RETRY_AFTER_S if hears_news else UNREACHED_RETRY_AFTER_S
        error = errors.GatewayError(code, step=self.step, detail=detail, retry_after=retry_after)
        return actions.Refuse(error)


@functools.singledispatch
def _resume(
    reply: typing.Any,
    resumption_filter: Resumption,
    context: request_context.RequestContext,
    now: float,
) -> actions.Action:
    raise TypeError(type(reply))


@_resume.register
def _(
    reply: take_ups.OriginKnown,
    resumption_filter: Resumption,
    context: request_context.RequestContext,
    now: float,
) -> actions.Action:
    return resumption_filter.go_on(context, reply.origin, now)


@_resume.register
def _(
    reply: take_ups.OriginUnknown,
    resumption_filter: Resumption,
    context: request_context.RequestContext,
    now: float,
) -> actions.Action:
    return resumption_filter.refuse(context, errors.Code.ORIGIN_UNKNOWN, now)


def record_begin(
    context: request_context.RequestContext,
    head: answers.Head,
    origins: stream_origins.StreamOrigins,
) -> None:
    """Remember which software version begins the stream of a request, or goes on with it."""
    context.origin_version = head.software_version
    if context.stream is None and context.stream_key is not None:
        context.stream = origins.begin(
            context.stream_key,
            context.service.name,
            head.software_version,
            request=context.id,
            stream=context.request.resumes or context.id,
            upstream=head.source,
        )


def _is_valid_id(text: str) -> bool:
    """Return whether a text can be the id of a request."""
    return 0 < len(text) <= MAX_ID_LENGTH and text.isascii() and text.isprintable()


def _fields(context: request_context.RequestContext, now: float) -> dict[str, typing.Any]:
    """Return the log fields of a request that takes a stream up."""
    return {
        "request": context.id,
        "stream": context.request.resumes,
        "service": context.service.name,
        "waited_s": round(now - context.arrived_at, 3),
    }
