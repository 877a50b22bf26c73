"""Finds the client account of a request by its key, in the published configuration.

The key is checked on every request, also on a kept-alive connection.
"""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.controllers.config import published
from yuccahitch.filters import chain, request_context
from yuccahitch.messages import actions
from yuccahitch.resources import account

# Client account of requests that carry no known key.
ANONYMOUS = account.Account(name="")


class Credentials(chain.BaseFilter):
    """Refuses a request without a valid key, unless no keys are used or its route is open.

    Args:
        config: Holds the published configuration in force.
    """

    __slots__ = ("config",)
    step = "credentials"

    def __init__(self, config: published.PublishedConfig) -> None:
        self.config = config

    def enter(self, context: request_context.RequestContext, now: float) -> actions.Action:
        """Set the client account, or refuse."""
        current = self.config.current
        context.account = ANONYMOUS
        account_name = current.accounts_by_key_digest.get(context.request.key_digest)
        if account_name is not None:
            context.account = current.accounts[account_name]
        elif current.requires_key and not context.route.open:
            missing = not context.request.key_digest
            code = errors.Code.KEY_MISSING if missing else errors.Code.KEY_UNKNOWN
            return actions.Refuse(errors.GatewayError(code, step=self.step))
        return actions.Proceed()
