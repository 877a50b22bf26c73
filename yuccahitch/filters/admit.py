"""Refuses new requests while the instance is not ready or is shutting down."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers.config import configuration
from yuccahitch.controllers.members import drain
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions

RETRY_AFTER_S = 1.0


class Admit(chain.BaseFilter):
    """First filter of every chain.

    Args:
        config: Configuration of this instance; without one, the instance is not ready.
        shutdown: Progress of a graceful shutdown.
        instance: Id of this instance, for refusals.
    """

    __slots__ = ("config", "shutdown", "instance")
    step = "admit"

    def __init__(
        self, config: configuration.Configuration, shutdown: drain.Drain, *, instance: str
    ) -> None:
        self.config = config
        self.shutdown = shutdown
        self.instance = instance

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Proceed if the instance is ready and accepts requests, or refuse."""
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
