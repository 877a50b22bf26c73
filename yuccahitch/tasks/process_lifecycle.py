"""The life of an instance's process: its ticks, its signals and its end."""

from __future__ import annotations

import asyncio
import itertools
import signal
import typing

import reactivex
from reactivex.scheduler import eventloop

from yuccahitch.tasks import core, mailbox

TICK_INTERVAL_S = 0.1

PeriodicCall = tuple[float, typing.Callable[[], None]]


async def run_until_drained(
    core_task: core.Core,
    tasks: list[asyncio.Task[typing.Any]],
    *,
    children: mailbox.ChildTasks,
    periodic_calls: typing.Iterable[PeriodicCall] = (),
) -> None:
    """Tick until a graceful shutdown, which a signal begins, is done, or until a task ends.

    Args:
        core_task: The core task.
        tasks: The other tasks of the process.
        children: Owns what is started here.
        periodic_calls: What else is due at intervals, in seconds.
    """
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, core_task.inbox.post, core.BeginDrain())
    tick_call: PeriodicCall = (TICK_INTERVAL_S, lambda: core_task.inbox.post(core.Tick()))
    scheduler = eventloop.AsyncIOScheduler(loop)
    subscriptions = [
        reactivex.interval(seconds, scheduler=scheduler).subscribe(
            on_next=lambda _, call=call: call()
        )
        for seconds, call in itertools.chain([tick_call], periodic_calls)
    ]
    core_task.inbox.post(core.Tick())
    drained = children.start(core_task.drained.wait())
    await asyncio.wait([drained, *tasks], return_when=asyncio.FIRST_COMPLETED)
    for subscription in subscriptions:
        subscription.dispose()


async def stop_tasks(
    tasks: list[asyncio.Task[typing.Any]], *, children: mailbox.ChildTasks
) -> None:
    """End all tasks.

    Raises:
        Exception: What ended a task before its time.
    """
    failed = [task for task in tasks if task.done() and task.exception() is not None]
    await children.stop()
    for task in failed:
        raise task.exception()
