"""Refuses new requests while the instance is not ready or shuts down."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers import configuration, drain
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions

RETRY_AFTER_S = 1.0


class Admit(chain.BaseFilter):
    """The first filter."""

    __slots__ = ("config", "shutdown", "instance")
    step = "admit"

    def __init__(
        self, config: configuration.Configuration, shutdown: drain.Drain, *, instance: str
    ) -> None:
        self.config = config
        self.shutdown = shutdown
        self.instance = instance

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Go on only while the instance serves."""
        if not self.shutdown.accepting:
            return self._refuse(errors.Code.DRAINING)
        if not self.config.ready():
            return self._refuse(errors.Code.NOT_READY)
        return actions.Proceed()

    def _refuse(self, code: errors.Code) -> actions.Action:
        error = errors.GatewayError(
            code, step=self.step, peer=self.instance, retry_after=RETRY_AFTER_S
        )
        return actions.Refuse(error)
