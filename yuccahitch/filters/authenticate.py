"""Finds the client account of a request by its key.

The key is checked against the catalog on every request, also on a kept connection, so that a
withdrawn key stops working as soon as the withdrawal arrives.
"""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers import configuration
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions


class Authenticate(chain.BaseFilter):
    """Refuses a request whose key does not work.

    Args:
        config: Holds the catalog and knows how old it is.
        serve_when_cut_off: Whether keys work while the configuration can't be refreshed.
        max_config_age_s: Age of the configuration, in seconds, from which it counts as cut off.
    """

    __slots__ = ("config", "serve_when_cut_off", "max_config_age_s")
    step = "authenticate"

    def __init__(
        self,
        config: configuration.Configuration,
        *,
        serve_when_cut_off: bool = True,
        max_config_age_s: float = 10.0,
    ) -> None:
        self.config = config
        self.serve_when_cut_off = serve_when_cut_off
        self.max_config_age_s = max_config_age_s

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Set the client account, or refuse."""
        if not self.serve_when_cut_off and self.config.age(now) > self.max_config_age_s:
            return self._refuse(
                errors.Code.NOT_READY, "keys can't be checked: the configuration is out of reach"
            )
        catalog = self.config.catalog
        route = catalog.route(context.request.target, context.request.path)
        if not context.request.key_digest:
            if route is None or not route.open:
                return self._refuse(errors.Code.KEY_MISSING, "")
            account_name = route.account
        else:
            key = catalog.keys.get(context.request.key_digest)
            if key is None or key.withdrawn:
                return self._refuse(errors.Code.KEY_UNKNOWN, "")
            context.key_name = key.name
            account_name = key.account
        return self._set_account(context, account_name)

    def _set_account(
        self, context: request_context.RequestContext, account_name: str
    ) -> actions.Action:
        catalog = self.config.catalog
        account = catalog.account(account_name)
        if account is None:
            return self._refuse(errors.Code.KEY_UNKNOWN, "the key's client account is gone")
        client = catalog.client(account.client) if account.client else None
        if client is not None and client.closed:
            return self._refuse(errors.Code.ACCOUNT_CLOSED, "")
        context.account = account
        return actions.Proceed()

    def _refuse(self, code: errors.Code, detail: str) -> actions.Action:
        return actions.Refuse(errors.GatewayError(code, step=self.step, detail=detail))
