"""Checks a request that a peer forwarded, by the name of its key in place of the key."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers.config import configuration
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions

MAX_HOPS = 1


class CheckForwarded(chain.BaseFilter):
    """Refuses a forwarded request with too many hops, or whose account or key is not valid.

    Args:
        config: Provides the resource catalog.
        instance: Id of this instance.
    """

    __slots__ = ("config", "instance")
    step = "arrival"

    def __init__(self, config: configuration.Configuration, *, instance: str) -> None:
        self.config = config
        self.instance = instance

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Set the client account and the name of the key as the hop gives them, or refuse."""
        hop = context.hop
        if hop.hops > MAX_HOPS or self.instance in hop.visited:
            return self._refuse(
                errors.Code.LOOP, f"the request already visited {', '.join(hop.visited)}"
            )
        catalog = self.config.catalog
        account = catalog.account(hop.account)
        if account is None:
            return self._refuse(
                errors.Code.KEY_UNKNOWN, "the catalog of this instance lacks the client account"
            )
        key = catalog.find("key", hop.key_name) if hop.key_name else None
        if hop.key_name and (key is None or key.withdrawn or key.account != hop.account):
            return self._refuse(
                errors.Code.KEY_UNKNOWN, "the key is unknown, withdrawn or of another account"
            )
        context.account = account
        context.key_name = hop.key_name
        return actions.Proceed()

    def _refuse(self, code: errors.Code, detail: str) -> actions.Action:
        error = errors.GatewayError(code, step=self.step, peer=self.instance, detail=detail)
        return actions.Refuse(error)
