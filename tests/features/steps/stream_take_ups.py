"""Steps for streams of services whose upstreams have several software versions."""

from __future__ import annotations

import asyncio
import functools
import itertools

import behave

from standins import platform_site, versioned_upstreams
from tests import platform_calls, versioned_site

# Time between two events of a stream that lasts while something happens, in seconds.
SLOW_GAP_S = 0.25
QUICK_GAP_S = 0.05
# Time for which all instances are away, in seconds.
DOWN_S = 0.5
SETTLE_S = 1.0
STORE_AWAY_S = 2.0
COPY_AGE_S = 0.5
RESUMES_HEADERS = {
    "an unknown id": "t0",
    "nothing": None,
    "an empty text": "",
    "201 bytes": "t" * 201,
    "an inner tab": "t\t1",
    "letters beyond ASCII": "t\u00fc1",
}


def run_all(context, awaitables):
    """Run some awaitables at the same time."""

    async def work():
        return await asyncio.gather(*awaitables)

    return platform_calls.run(context, work())


async def start_missing(site):
    """Start the instances that an earlier scenario left killed."""
    missing = [name for name in platform_site.INSTANCE_ZONES if name not in site.processes]
    await asyncio.gather(*(site.start(name) for name in missing))
    await site.wait_until_ready(*missing)


async def publish(context, *services):
    """Publish routes to the services, as the newest configuration."""
    await start_missing(context.site)
    context.services = services
    context.version += 1
    document = versioned_site.a_document(context.version, *services)
    await context.site.write_item("op/config", document)


async def set_gap(context, seconds):
    """Set the time between two events of a stream."""
    for name in versioned_upstreams.UPSTREAMS:
        await context.site.set_faults(name, gap_s=seconds)


@behave.given("upstreams of {versions} serve a service")
def step_serve(context, versions):
    async def work():
        service = versioned_site.VersionedService(context.site)
        names = versions.split(" and ")
        await publish(context, service)
        await service.register(*names)
        await set_gap(context, QUICK_GAP_S)
        await asyncio.sleep(SETTLE_S)
        await service.wait_until_in_use(*names)

    platform_calls.run(context, work())


@behave.given("upstreams of v1 serve a service, and the store keeps a copy")
def step_serve_and_copy(context):
    context.execute_steps("Given upstreams of v1 serve a service")
    platform_calls.run(context, context.site.call_store("POST", "/admin/keep-copy"))


@behave.given("upstreams of v1 serve one service and those of v2 another one, which share a route")
def step_serve_two_services(context):
    async def work():
        first = versioned_site.VersionedService(context.site)
        second = versioned_site.VersionedService(context.site)
        await publish(context, first, second)
        await first.register("v1")
        await second.register("v2")
        await set_gap(context, QUICK_GAP_S)
        await asyncio.sleep(SETTLE_S)
        await first.wait_until_in_use("v1", "v2", path=versioned_site.SHARED_ROUTE + "x")

    platform_calls.run(context, work())


def make_callers(context, count):
    """Make callers with streams of their own."""
    context.callers = [context.services[0].new_caller() for _ in range(count)]
    if len(context.services) > 1:
        for caller in context.callers:
            caller.path = f"{versioned_site.SHARED_ROUTE}{caller.path.strip('/')}"


@behave.when(
    "{count:d} callers read a stream at {instance}, each of whose first upstreams has the fault"
    " {fault}"
)
def step_read_with_fault(context, count, instance, fault):
    make_callers(context, count)

    async def work():
        for caller in context.callers:
            await context.site.set_shared_faults()
            await context.site.set_shared_faults(**{fault: 1})
            await caller.read(instance)

    platform_calls.run(context, work())


@behave.when(
    "{count:d} callers read a stream at {instance}, and {name} is killed after {s:g} second"
)
@behave.when(
    "{count:d} callers read a stream at {instance}, and {name} is killed after {s:g} seconds"
)
def step_read_and_kill_one(context, count, instance, name, s):
    make_callers(context, count)

    async def kill():
        await asyncio.sleep(s)
        await context.site.kill(name)

    platform_calls.run(context, set_gap(context, SLOW_GAP_S))
    run_all(context, [kill(), *(caller.read(instance) for caller in context.callers)])


@behave.when("{count:d} callers leave {first} after {n:d} events of a stream, and go on nowhere")
def step_leave(context, count, first, n):
    make_callers(context, count)
    run_all(context, [caller.read(first, leave_after=n) for caller in context.callers])


@behave.when(
    "{count:d} callers leave {first} after {n:d} events of a stream, and go on at {second}"
)
def step_leave_and_go_on(context, count, first, n, second):
    make_callers(context, count)
    instances = second.split()

    async def work(caller):
        await caller.read(first, leave_after=n)
        for instance in instances[:-1]:
            await caller.read(instance, leave_after=n)
        await caller.finish(instances[-1])

    run_all(context, [work(caller) for caller in context.callers])


@behave.when("upstreams of {versions} serve too, and those of v1 {leave}")
def step_release(context, versions, leave):
    platform_calls.run(context, release(context, versions.split(", "), leave))


async def release(context, versions, leave):
    """Let upstreams of other versions begin to serve, and those of v1 leave, or not."""
    (service,) = context.services
    await service.register(*versions)
    await service.wait_until_in_use(*versions)
    if leave == "are drained":
        await service.drain("v1")
        await asyncio.sleep(SETTLE_S)
    if leave in ("leave", "leave and come back"):
        await service.remove("v1")
        await asyncio.sleep(versioned_site.GONE_S)
    if leave == "leave and come back":
        await service.register("v1")
        await service.wait_until_in_use("v1")


@behave.when(
    "{count:d} callers read a stream, and all instances are killed after {s:g} second, {beside}"
)
def step_read_and_kill_all(context, count, s, beside):
    make_callers(context, count)
    instances = itertools.cycle(platform_site.INSTANCE_ZONES)
    reading = [caller.read(next(instances)) for caller in context.callers]
    platform_calls.run(context, set_gap(context, SLOW_GAP_S))
    run_all(context, [restart_all(context, s, beside), *reading])


async def restart_all(context, after_s, beside):
    """Kill all instances after some time and start them again, with something beside it."""
    site = context.site
    await asyncio.sleep(after_s - COPY_AGE_S)
    if beside == "and the store comes back from a copy 0.5 s older":
        await site.call_store("POST", "/admin/keep-copy")
    await asyncio.sleep(COPY_AGE_S)
    await BEFORE_KILL.get(beside, do_nothing)(context)
    names = list(site.processes)
    await asyncio.gather(*(site.kill(name) for name in names))
    await BESIDE_KILL.get(beside, do_nothing)(context)
    await asyncio.sleep(DOWN_S)
    await asyncio.gather(*(site.start(name) for name in names))
    await site.wait_until_ready(*names)


async def do_nothing(context):
    """Do nothing."""


async def remove_first(context):
    """Remove the entries of v1."""
    await context.services[0].remove("v1")


async def register(context, version):
    """Register the upstreams of a version."""
    await context.services[0].register(version)


async def replace_first(context, version):
    """Remove the entries of v1, and register the upstreams of another version."""
    await remove_first(context)
    await register(context, version)


async def take_store_away(context):
    """Let the store be away for a while, from now on."""
    await context.site.set_faults("store", down=True)
    asyncio.get_running_loop().create_task(bring_store_back(context))


async def bring_store_back(context):
    """Let the store be back after a while."""
    await asyncio.sleep(STORE_AWAY_S)
    await context.site.set_faults("store")


async def restore_store(context):
    """Let the store come back from its copy; upstreams write their entries again."""
    await context.site.call_store("POST", "/admin/restore")
    await context.services[0].register("v2")


BEFORE_KILL = {
    "just after v1 left": remove_first,
    "just after v2 began to serve": functools.partial(register, version="v2"),
}
BESIDE_KILL = {
    "and v1 leaves meanwhile": remove_first,
    "and v1 leaves while v3 begins to serve": functools.partial(replace_first, version="v3"),
    "and the store is away for 2 seconds": take_store_away,
    "and the store comes back from a copy 0.5 s older": restore_store,
    "and the store comes back from the copy": restore_store,
    "and v2 begins to serve meanwhile": functools.partial(register, version="v2"),
    "and v1 leaves while v2 begins to serve": functools.partial(replace_first, version="v2"),
}


@behave.when("the callers go on at {instance}")
def step_go_on(context, instance):
    platform_calls.run(context, set_gap(context, QUICK_GAP_S))
    context.former_counts = [len(caller.attempts) for caller in context.callers]
    run_all(context, [caller.finish(instance) for caller in context.callers])


@behave.when("the callers name as Resumes {resumes}, and go on at {instance}")
def step_go_on_naming(context, resumes, instance):
    headers = {}
    if resumes == "another account's id":
        for caller in context.callers:
            caller.key = versioned_site.OTHER_KEY
    else:
        headers = {"Resumes": RESUMES_HEADERS[resumes]}
    run_all(context, [caller.read(instance, headers=headers) for caller in context.callers])


@behave.then(
    "no caller holds events of two versions, and {share} of the callers hold a whole stream"
)
def step_check_versions(context, share):
    mixed = [caller for caller in context.callers if len(caller.versions()) > 1]
    assert not mixed, f"{len(mixed)} of {len(context.callers)}: {describe(mixed[0])}"
    whole_count = sum(caller.is_complete() for caller in context.callers)
    count = len(context.callers)
    bounds = {"all": (count, count), "half": (count / 2, count), "some": (0, count), "none": (0, 0)}
    smallest, largest = bounds[share]
    assert smallest <= whole_count <= largest, (whole_count, *map(describe, context.callers))


def describe(caller):
    """Return what a caller was answered, with the events and their upstreams."""
    return [
        (item.status, item.instance, item.seconds, [(e.number, e.upstream) for e in item.events()])
        for item in caller.attempts
    ]


@behave.then(
    "each take-up that was refused was told so within {limit_s:g} second, and none of these ran"
)
def step_check_refusals(context, limit_s):
    take_ups = [
        attempt
        for caller, count in zip(context.callers, context.former_counts, strict=True)
        for attempt in caller.attempts[count:]
    ]
    refused = [attempt for attempt in take_ups if attempt.status != 200]
    assert {attempt.status for attempt in refused} <= {503}, [item.status for item in refused]
    check_not_run(context, refused, limit_s)


@behave.then(
    "all of these are answered {status:d} within {limit_s:g} seconds, and none of them ran"
)
def step_check_all_refused(context, status, limit_s):
    take_ups = [caller.attempts[-1] for caller in context.callers]
    assert {item.status for item in take_ups} == {status}, [item.status for item in take_ups]
    check_not_run(context, take_ups, limit_s)


def check_not_run(context, refused, limit_s):
    """Check that refusals came in time and are true."""
    assert all(item.seconds < limit_s for item in refused), [item.seconds for item in refused]
    ran = platform_calls.run(context, versioned_site.requests_that_ran(context.site))
    assert not ran & {item.id for item in refused}
