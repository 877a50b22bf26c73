"""Periodic calls, shutdown signals and the end of the process of an instance."""

from __future__ import annotations

import asyncio
import itertools
import signal
import typing

import reactivex
from reactivex.scheduler import eventloop

from yuccahitch.tasks import core, core_messages, mailbox

TICK_INTERVAL_S = 0.1

# An interval in seconds, and the function called at that interval.
PeriodicCall = tuple[float, typing.Callable[[], None]]


async def run_until_drained(
    core_task: core.Core,
    tasks: list[asyncio.Task[typing.Any]],
    *,
    children: mailbox.ChildTasks,
    periodic_calls: typing.Iterable[PeriodicCall] = (),
) -> None:
    """Post ticks to the core until the graceful shutdown is complete or a task ends.

    SIGTERM and SIGINT begin the graceful shutdown.

    Args:
        core_task: The core task.
        tasks: All running tasks of the process.
        children: Owns the task that waits for the shutdown.
        periodic_calls: Functions to call at intervals besides the ticks.
    """
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, core_task.inbox.post, core_messages.BeginDrain())
    tick_call: PeriodicCall = (TICK_INTERVAL_S, lambda: core_task.inbox.post(core_messages.Tick()))
    scheduler = eventloop.AsyncIOScheduler(loop)
    subscriptions = [
        reactivex.interval(seconds, scheduler=scheduler).subscribe(
            on_next=lambda _, call=call: call()
        )
        for seconds, call in itertools.chain([tick_call], periodic_calls)
    ]
    core_task.inbox.post(core_messages.Tick())
    drained = children.start(core_task.drained.wait())
    await asyncio.wait([drained, *tasks], return_when=asyncio.FIRST_COMPLETED)
    for subscription in subscriptions:
        subscription.dispose()


async def stop_tasks(
    tasks: list[asyncio.Task[typing.Any]], *, children: mailbox.ChildTasks
) -> None:
    """Cancel all tasks.

    Args:
        tasks: The tasks that are checked for an exception.
        children: Owns the tasks.

    Raises:
        Exception: The exception that ended a task before it was cancelled.
    """
    failed = [task for task in tasks if task.done() and task.exception() is not None]
    await children.stop()
    for task in failed:
        raise task.exception()
