"""Events about requests."""

from __future__ import annotations

import typing

from yuccahitch import events
from yuccahitch.filters import exchange
from yuccahitch.messages import commands, exchanges


def note_of(message: exchanges.Finished, item: exchange.Exchange) -> commands.Note:
    """Return the event of a request that is over."""
    fields: dict[str, typing.Any] = {
        "request": item.id,
        "account": item.account.name if item.account is not None else "",
        "upstream": item.upstream,
        "instance_used": item.instance,
        "output_tokens": message.usage.output,
    }
    if message.error is not None:
        error = message.error
        fields.update(code=error.code.wire, step=error.step, run=error.run.value)
    event = events.Event.REQUEST_ENDED
    if message.abandoned:
        event = events.Event.REQUEST_ABANDONED
    elif not message.succeeded:
        event = events.Event.REQUEST_REFUSED if item.head is None else events.Event.REQUEST_CUT
    return commands.Note(event, **fields)
