"""The life of an instance's process: its ticks, its signals and its end."""

from __future__ import annotations

import asyncio
import itertools
import signal
import typing

import reactivex
from reactivex.scheduler import eventloop

from yuccahitch.tasks import core, mailbox

TICK_S = 0.1

Rhythm = tuple[float, typing.Callable[[], None]]


async def until_drained(
    decisions: core.Core,
    tasks: list[asyncio.Task[typing.Any]],
    *,
    children: mailbox.Children,
    rhythms: typing.Iterable[Rhythm] = (),
) -> None:
    """Tick until a graceful shutdown, which a signal begins, is done, or until a task ends.

    Args:
        decisions: The core task.
        tasks: The other tasks of the process.
        children: Owns what is started here.
        rhythms: What else is due at intervals, in seconds.
    """
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, decisions.inbox.post, core.BeginDrain())
    ticks: Rhythm = (TICK_S, lambda: decisions.inbox.post(core.Tick()))
    scheduler = eventloop.AsyncIOScheduler(loop)
    subscriptions = [
        reactivex.interval(seconds, scheduler=scheduler).subscribe(on_next=lambda _, do=do: do())
        for seconds, do in itertools.chain([ticks], rhythms)
    ]
    decisions.inbox.post(core.Tick())
    drained = children.start(decisions.drained.wait())
    await asyncio.wait([drained, *tasks], return_when=asyncio.FIRST_COMPLETED)
    for subscription in subscriptions:
        subscription.dispose()


async def end(tasks: list[asyncio.Task[typing.Any]], *, children: mailbox.Children) -> None:
    """End all tasks.

    Raises:
        Exception: What ended a task before its time.
    """
    failed = [task for task in tasks if task.done() and task.exception() is not None]
    await children.stop()
    for task in failed:
        raise task.exception()
