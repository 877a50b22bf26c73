"""Finds the client account of a request by its key, under the published configuration.

The key is checked on every request, also on a kept connection.
"""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers import published
from yuccahitch.filters import chain, exchange
from yuccahitch.messages import actions
from yuccahitch.resources import account

ANYONE = account.Account(name="")


class Credentials(chain.Step):
    """Refuses a request whose key no account holds.

    Args:
        config: The configuration in force.
    """

    __slots__ = ("config",)
    step = "credentials"

    def __init__(self, config: published.Published) -> None:
        self.config = config

    def enter(self, item: exchange.Exchange, now: float) -> actions.Action:
        """Set the client account, or refuse."""
        current = self.config.current
        item.account = ANYONE
        name = current.accounts_by_key_digest.get(item.request.key_digest)
        if name is not None:
            item.account = current.accounts[name]
        elif current.requires_key and not item.route.open:
            missing = not item.request.key_digest
            code = errors.Code.KEY_MISSING if missing else errors.Code.KEY_UNKNOWN
            return actions.Refuse(errors.GatewayError(code, step=self.step))
        return actions.Proceed()
