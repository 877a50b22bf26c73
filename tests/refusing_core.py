"""A core that refuses each request at once."""

from __future__ import annotations

from yuccahitch import errors
from yuccahitch.messages import actions, request_lifecycle
from yuccahitch.tasks import runner


class RefusingCore:
    """Takes the place of the core's mailbox."""

    __slots__ = ()

    async def ask(self, message):
        """Return the refusal of a request."""
        error = errors.GatewayError(errors.Code.OVERLOADED, step="test")
        return request_lifecycle.NextAction(message.request.id, actions.Refuse(error))

    def post(self, message):
        """Take a message that needs no reply."""


def mailboxes():
    """Return mailboxes of a runner, with such a core and nothing else."""
    return runner.Mailboxes(
        core=RefusingCore(), upstreams=None, peers=None, stream_capacity=64, write_timeout_s=1.0
    )
