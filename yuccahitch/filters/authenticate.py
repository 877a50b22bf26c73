"""Finds the client account of a request by its key.

The key is checked against the catalog on every request, also on a kept connection, so that a
withdrawn key stops working as soon as the withdrawal arrives.
"""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers import configuration
from yuccahitch.filters import chain, exchange
from yuccahitch.messages import actions


class Authenticate(chain.Step):
    """Refuses a request whose key does not work.

    Args:
        config: Holds the catalog and knows how old it is.
        serve_cut_off: Whether keys work while the configuration can't be refreshed.
        cut_off_after: Age of the configuration, in seconds, from which it counts as cut off.
    """

    __slots__ = ("config", "serve_cut_off", "cut_off_after")
    step = "authenticate"

    def __init__(
        self,
        config: configuration.Configuration,
        *,
        serve_cut_off: bool = True,
        cut_off_after: float = 10.0,
    ) -> None:
        self.config = config
        self.serve_cut_off = serve_cut_off
        self.cut_off_after = cut_off_after

    def enter(self, item: exchange.Exchange, now: float) -> actions.Action:
        """Set the client account, or refuse."""
        if not self.serve_cut_off and self.config.age(now) > self.cut_off_after:
            return self._refuse(
                errors.Code.NOT_READY, "keys can't be checked: the configuration is out of reach"
            )
        catalog = self.config.catalog
        route = catalog.route(item.request.target, item.request.path)
        if not item.request.key_digest:
            if route is None or not route.open:
                return self._refuse(errors.Code.KEY_MISSING, "")
            name = route.account
        else:
            key = catalog.keys_by_digest.get(item.request.key_digest)
            if key is None or key.withdrawn:
                return self._refuse(errors.Code.KEY_UNKNOWN, "")
            item.key_name = key.name
            name = key.account
        return self._account(item, name)

    def _account(self, item: exchange.Exchange, name: str) -> actions.Action:
        catalog = self.config.catalog
        account = catalog.account(name)
        if account is None:
            return self._refuse(errors.Code.KEY_UNKNOWN, "the key's client account is gone")
        client = catalog.client(account.client) if account.client else None
        if client is not None and client.closed:
            return self._refuse(errors.Code.ACCOUNT_CLOSED, "")
        item.account = account
        return actions.Proceed()

    def _refuse(self, code: errors.Code, detail: str) -> actions.Action:
        return actions.Refuse(errors.GatewayError(code, step=self.step, detail=detail))
