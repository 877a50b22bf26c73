"""Builders of test data about streams and the software versions that begin them."""

from __future__ import annotations

import typing

from tests import builders, platform_builders
from yuccahitch import errors
from yuccahitch.messages import answers

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
    edge.register_upstream(name, service=SERVICE, version=version, **fields)


def a_head(request_id: str, version: str, *, attempt: int = 1, status: int = 200) -> answers.Head:
    """Return the head of an answer by an upstream of a software version."""
    head = builders.a_head(request_id, status=status)
    head.attempt = attempt
    head.software_version = version
    return head


def a_break(request_id: str, *, attempt: int = 1, last_event_id: str = "3") -> answers.Failure:
    """Return the failure of an attempt whose stream broke off after an event."""
    error = errors.GatewayError(
        errors.Code.UPSTREAM_FAILED, step="test", run=errors.RunStatus.MAY_HAVE_RUN
    )
    return answers.Failure(
        request_id=request_id, attempt=attempt, error=error, last_event_id=last_event_id
    )
