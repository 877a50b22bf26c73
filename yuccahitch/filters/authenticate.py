"""Finds the client account of a request by its key, in the resource catalog.

The key is checked against the catalog on every request, also on a kept-alive connection, so that a
withdrawn key stops working as soon as the withdrawal arrives.
"""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers.config import configuration
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions


class Authenticate(chain.BaseFilter):
    """Refuses a request without a valid key, unless its route is open.

    Args:
        config: Provides the resource catalog and its age.
        serve_when_cut_off: Whether keys are accepted while the instance is cut off, that is, while
            its configuration is older than ``max_config_age_s``.
        max_config_age_s: Greatest age of a configuration that counts as current, in seconds.
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
        """Set the client account and the name of the key, or refuse."""
        if not self.serve_when_cut_off and self.config.age(now) > self.max_config_age_s:
            return self._refuse(
                errors.Code.NOT_READY, "the key can't be checked: the configuration is too old"
            )
        catalog = self.config.catalog
        route = catalog.route(context.request.target, context.request.path)
        if not context.request.key_digest:
            if route is None or not route.open:
                return self._refuse(errors.Code.KEY_MISSING, "")
            account_name = route.account
        else:
            key = catalog.keys_by_digest.get(context.request.key_digest)
            if key is None or key.withdrawn:
                return self._refuse(errors.Code.KEY_UNKNOWN, "")
            context.key_name = key.name
            account_name = key.account
        return self._set_account(context, account_name)

    def _set_account(
        self, context: request_context.RequestContext, account_name: str
    ) -> actions.Action:
        """Set the client account if it exists and its client is not closed, or refuse."""
        catalog = self.config.catalog
        account = catalog.account(account_name)
        if account is None:
            return self._refuse(errors.Code.KEY_UNKNOWN, "the client account does not exist")
        client = catalog.client(account.client) if account.client else None
        if client is not None and client.closed:
            return self._refuse(errors.Code.ACCOUNT_CLOSED, "")
        context.account = account
        return actions.Proceed()

    def _refuse(self, code: errors.Code, detail: str) -> actions.Action:
        return actions.Refuse(errors.GatewayError(code, step=self.step, detail=detail))
