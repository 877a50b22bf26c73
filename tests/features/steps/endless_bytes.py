"""Steps about bytes without end, with processes and their memory."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import socket
import sys
import time

import aiohttp
import behave
from aiohttp import web

from standins import platform_site
from tests import attempt_clients, forwarding_pair, platform_builders, platform_calls
from yuccahitch.messages import answers

SOUND_PERIOD_S = 0.1
# Time after which the memory of an instance is read again, in seconds.
SETTLE_S = 2.0
MANY = 1_000_000
UNREAD_BUFFER_BYTES = 4096
_unread_ids = itertools.count(1)


@behave.given("the upstreams of {service} write without end, {fault}")
def step_set_endless(context, service, fault):
    names = [name for name, spec in platform_site.UPSTREAMS.items() if spec[0] == service]

    async def work():
        for name in names:
            await context.site.set_faults(name, **{fault: MANY})

    platform_calls.run(context, work())


@behave.when(
    "{count:d} callers who {read} ask {instance} for GET {path} again and again for {seconds:g}"
    " seconds"
)
def step_ask_again(context, count, read, instance, path, seconds):
    other = "/plan/x" if path.startswith("/status") else "/status/x"
    pid = context.site.processes[instance].pid
    ask = ask_and_read if read == "read at once" else ask_and_read_nothing

    async def work():
        context.memory_before_mb = memory_mb(pid)
        ends_at = time.monotonic() + seconds
        callers = [asyncio.ensure_future(ask(instance, path, ends_at)) for _ in range(count)]
        context.sound_replies, context.peak_mb = await watch(instance, other, pid, ends_at)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await asyncio.sleep(SETTLE_S)
        context.memory_after_mb = memory_mb(pid)

    platform_calls.run(context, work())


async def watch(instance, path, pid, ends_at):
    """Send sound requests until a time; return their replies and the largest memory seen."""
    replies, peak_mb = [], 0.0
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < ends_at:
            replies.append(await platform_calls.send(session, instance, "GET", path))
            peak_mb = max(peak_mb, memory_mb(pid))
            await asyncio.sleep(SOUND_PERIOD_S)
    return replies, peak_mb


async def ask_and_read(instance, path, ends_at):
    """Send requests one after another and read what comes."""
    async with aiohttp.ClientSession() as session:
        while time.monotonic() < ends_at:
            await platform_calls.send(session, instance, "GET", path)


async def ask_and_read_nothing(instance, path, ends_at):
    """Send a request and read nothing of the answer until a time."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_connect(connection, (platform_site.instance_host(instance), 7101))
        head = (
            f"GET {path} HTTP/1.1\r\nHost: {platform_builders.HOST}\r\n"
            f"Authorization: Token {platform_builders.PLATFORM_KEY}\r\n"
            f"X-Request-Id: unread{next(_unread_ids)}\r\nX-Deadline-Ms: 8000\r\n\r\n"
        )
        await loop.sock_sendall(connection, head.encode())
        await asyncio.sleep(max(0.0, ends_at - time.monotonic()))
    finally:
        connection.close()


def memory_mb(pid):
    """Return the resident memory of a process in MB."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS"))


@behave.then("requests to {path} at {instance} were answered within {limit_s:g} seconds meanwhile")
def step_check_sound_requests(context, path, instance, limit_s):
    slowest_s = max(reply.seconds for reply in context.sound_replies)
    statuses = {reply.status for reply in context.sound_replies}
    assert statuses == {200} and slowest_s <= limit_s, (statuses, slowest_s)


@behave.then(
    "{instance} had at most {limit_mb:d} MB in memory, and gives back all but {kept_mb:d} MB of"
    " what it took"
)
def step_check_memory(context, instance, limit_mb, kept_mb):
    seen = (context.memory_before_mb, context.peak_mb, context.memory_after_mb)
    assert context.peak_mb <= limit_mb, seen
    assert context.memory_after_mb - context.memory_before_mb <= kept_mb, seen


PIECE = b"x" * 65536
MB = 1_000_000


@behave.given("a server whose bodies have no end")
def step_start_endless_server(context):
    context.sent = 0

    async def send_without_end(request):
        """Send a body until the client closes, and count what it took."""
        response = web.StreamResponse()
        await response.prepare(request)
        while True:
            await response.write(PIECE)
            context.sent += len(PIECE)

    async def start():
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", send_without_end)
        runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        (port,) = forwarding_pair.free_ports(1)
        await web.TCPSite(runner, "127.0.0.1", port).start()
        context.endless_url = f"http://127.0.0.1:{port}"
        context.closers = [runner.cleanup]

    platform_calls.run(context, start())


@behave.when("an instance reads {what} from it")
def step_read_endless(context, what):
    readers = {
        "a load report": attempt_clients.read_load_report,
        "a reply of the store": attempt_clients.read_store_item,
        "a watched change": attempt_clients.poll_store_change,
    }
    began_at = time.monotonic()
    platform_calls.run(context, asyncio.wait_for(readers[what](context.endless_url), 20))
    context.seconds = time.monotonic() - began_at


@behave.then("it gives up within {limit_s:g} seconds, having taken at most {limit_mb:d} MB")
def step_check_given_up(context, limit_s, limit_mb):
    assert context.seconds <= limit_s, context.seconds
    assert 0 < context.sent <= limit_mb * MB, context.sent


@behave.given("an instance on the platform that has read no configuration")
def step_start_without_config(context):
    context.front = attempt_clients.FrontWithoutConfig()
    platform_calls.run(context, context.front.start())
    context.closers = [context.front.close]


@behave.when("a caller sends it a body without an end")
def step_upload_endless(context):
    context.sent = 0

    async def body():
        while True:
            context.sent += len(PIECE)
            yield PIECE

    async def work():
        async with aiohttp.ClientSession() as session:
            try:
                async with session.post(context.front.url + "/book/x", data=body()) as response:
                    return response.status
            except aiohttp.ClientError as error:
                return repr(error)

    began_at = time.monotonic()
    context.status = platform_calls.run(context, asyncio.wait_for(work(), 20))
    context.seconds = time.monotonic() - began_at


@behave.then(
    "it is refused with {status:d} within {limit_s:g} seconds, having sent at most {limit_mb:d} MB"
)
def step_check_refused_upload(context, status, limit_s, limit_mb):
    assert context.seconds <= limit_s and context.sent <= limit_mb * MB, (
        context.seconds,
        context.sent,
    )
    assert context.status == status, context.status


@behave.given("an upstream of the own interface, a process that writes interim answers without end")
def step_start_interim(context):
    async def start():
        (port,) = forwarding_pair.free_ports(1)
        arguments = ["-m", "standins", "replica", str(port), "id=endless"]
        process = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, cwd=platform_site.ROOT, stdout=asyncio.subprocess.PIPE
        )
        await process.stdout.readline()
        context.interim_url = f"http://127.0.0.1:{port}"
        async with aiohttp.ClientSession() as session:
            async with session.post(
                context.interim_url + "/faults", json={"endless_interim": MANY}
            ) as response:
                assert response.status == 200
        return process

    process = platform_calls.run(context, start())

    async def stop():
        process.terminate()
        await process.wait()

    context.closers = [stop]


@behave.when("an instance sends it {count:d} calls at once, each with {seconds:g} seconds")
def step_send_calls(context, count, seconds):
    async def work():
        async with attempt_clients.running_upstream_client() as client:
            streams = [
                attempt_clients.send_call(client, context.interim_url, time.monotonic() + seconds)
                for _ in range(count)
            ]
            context.longest_wait_s = await longest_wait(seconds + 1.0)
            return [stream.parts.popleft() for stream in streams]

    context.parts = platform_calls.run(context, work())


async def longest_wait(seconds):
    """Return by how much a task that wakes every 10 ms was late at most, in seconds."""
    loop = asyncio.get_running_loop()
    longest, ends_at = 0.0, loop.time() + seconds
    while loop.time() < ends_at:
        due_at = loop.time() + 0.01
        await asyncio.sleep(0.01)
        longest = max(longest, loop.time() - due_at)
    return longest


@behave.then(
    "no other task of the instance waited for more than {limit_s:g} seconds, and each call failed"
    " in time"
)
def step_check_waits(context, limit_s):
    assert context.longest_wait_s <= limit_s, context.longest_wait_s
    assert {type(part) for part in context.parts} == {answers.Failure}, context.parts
