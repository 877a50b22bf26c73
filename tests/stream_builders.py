"""Builders of test data about streams and the software versions that begin them."""

from __future__ import annotations

import typing

from tests import builders, platform_builders
from yuccahitch import errors
from yuccahitch.codecs import peer
from yuccahitch.controllers.versions import stream_origin
from yuccahitch.messages import actions, answers, request_lifecycle

STREAM_PATH = "/plan/x"
SERVICE = "model"


def an_edge(name: str = "edge-1", **options: typing.Any) -> platform_builders.EdgeUnderTest:
    """Return an instance that is ready to serve, without upstreams."""
    edge = platform_builders.EdgeUnderTest(name, **options)
    edge.publish(platform_builders.a_publication(1))
    edge.mark_store_read()
    return edge


def register(
    edge: platform_builders.EdgeUnderTest, name: str, version: str, **fields: typing.Any
) -> None:
    """Register an upstream of a software version, which serves streams."""
    edge.register_upstream(name, **({"service": SERVICE, "version": version} | fields))


def a_head(request_id: str, version: str, *, attempt: int = 1, status: int = 200) -> answers.Head:
    """Return the head of an answer by an upstream of a software version."""
    head = builders.a_head(request_id, status=status)
    head.attempt = attempt
    head.software_version = version
    return head


def a_stream_key(stream: str) -> int:
    """Return the key of a stream of the client account that all requests run for."""
    return stream_origin.stream_key("rinks", stream)


def a_break(request_id: str, *, attempt: int = 1, last_event_id: str = "3") -> answers.Failure:
    """Return the failure of an attempt whose stream broke off after an event."""
    error = errors.GatewayError(
        errors.Code.UPSTREAM_FAILED, step="test", run=errors.RunStatus.MAY_HAVE_RUN
    )
    return answers.Failure(
        request_id=request_id, attempt=attempt, error=error, last_event_id=last_event_id
    )


def forwarded(
    work: actions.Forward, to: platform_builders.EdgeUnderTest
) -> request_lifecycle.NextAction:
    """Begin a forwarded request at its receiver, encoded and decoded; return the next action."""
    message = peer.to_forwarded(work, stamp=1)
    request, hop, _ = peer.from_forwarded(message, now=to.now)
    return to.decisions.begin(request, hop, to.now)
