"""Steps about the decisions of instances on the users' platform, in virtual time."""

from __future__ import annotations

import json

import behave

from tests import builders, edge_simulation, platform_builders
from yuccahitch import errors, events
from yuccahitch.codecs import datagrams
from yuccahitch.codecs.generated import peer_pb2 as pb
from yuccahitch.messages import actions, commands

# Ends the loop over attempts in case retries never stop.
MAX_ATTEMPTS = 100


def start_edge(context, *upstreams, version=1, **fields):
    """Start the scenario's only instance with a configuration and registered upstreams."""
    edge = platform_builders.EdgeUnderTest(**fields)
    edge.publish(platform_builders.a_publication(version))
    for name in upstreams:
        edge.register_upstream(name)
    context.edges = [edge]
    return edge


def take_logged_events(edge):
    """Return the events that an instance has asked to log since the last call."""
    return [c.event for c in edge.decisions.take_commands(edge.now) if type(c) is commands.LogEvent]


@behave.given("an instance with configuration {version:d}")
def step_start_instance(context, version):
    start_edge(context, version=version)


@behave.given("an instance with configuration {version:d} and upstreams {names}")
def step_start_instance_with_upstreams(context, version, names):
    start_edge(context, *names.replace(" and ", ", ").split(", "), version=version)


@behave.when("configuration {newer:d}, then {older:d}, then one that can't be read are written")
def step_write_configurations(context, newer, older):
    (edge,) = context.edges
    take_logged_events(edge)
    edge.publish(platform_builders.a_publication(newer))
    edge.publish(platform_builders.a_publication(older))
    edge.publish(b"{")


@behave.then("configuration {version:d} is in force, and two events report the others")
def step_check_configuration_in_force(context, version):
    (edge,) = context.edges
    assert edge.decisions.config.current.version == version
    logged = take_logged_events(edge)
    assert events.Event.CONFIG_STALE in logged and events.Event.CONFIG_UNREADABLE in logged, logged


@behave.when("an upstream registers with {field} as {value}")
def step_register_upstream(context, field, value):
    (edge,) = context.edges
    edge.register_upstream("u1", **{field: json.loads(value)})


@behave.then("it is used")
def step_check_upstream_used(context):
    (edge,) = context.edges
    assert edge_simulation.dispatched_upstream(edge.begin_request()) == "u1"


@behave.then("it is not used")
def step_check_upstream_not_used(context):
    (edge,) = context.edges
    outcome = edge.begin_request()
    assert type(outcome.action) is actions.Refuse, outcome
    assert outcome.action.error.run is errors.RunStatus.NOT_RUN


@behave.when("the entry of u1 is deleted {how}")
def step_remove_entry(context, how):
    (edge,) = context.edges
    if how == "in a change":
        edge.decisions.registry.apply_change("u1", None, edge.now)
        return
    item = edge.store_item("u2", {})
    remaining = edge.decisions.registry.by_name["u2"]
    item.revision = remaining.revision
    edge.decisions.registry.apply_snapshot([item], edge.now)


@behave.then(
    "u1 is used for {low:g} more seconds, not after {high:g}, and again once its entry is back"
)
def step_check_grace_period(context, low, high):
    (edge,) = context.edges
    used_upstreams = lambda: {  # noqa: E731
        edge_simulation.dispatched_upstream(edge.begin_request()) for _ in range(20)
    }
    edge.now += low
    assert "u1" in used_upstreams()
    edge.now += high - low
    assert "u1" not in used_upstreams()
    edge.register_upstream("u1")
    assert "u1" in used_upstreams()


@behave.given(
    "{count:d} instances of one region with an upstream that accepts 4 requests a second while cold"
)
def step_start_with_cold_upstream(context, count):
    context.edges = [platform_builders.EdgeUnderTest(f"edge-{n}") for n in range(count)]
    for edge in context.edges:
        edge.publish(platform_builders.a_publication())
        edge.register_upstream("m1", service="model", warmupLeftMs=10_000, capacity=64)
    edge_simulation.discover_all(context.edges)


@behave.when("each instance gets {rate:d} requests a second for {seconds:d} seconds")
def step_send_load(context, rate, seconds):
    failing = getattr(context, "failing", False)
    context.retry_times, context.dispatch_times, context.request_times = [], [], []
    edges = context.edges
    started_at, pulse_at = edges[0].now, edges[0].now
    while edges[0].now < started_at + seconds:
        if edges[0].now >= pulse_at:
            edge_simulation.exchange_pulses(edges)
            pulse_at += edge_simulation.PULSE_INTERVAL_S
        for edge in edges:
            run_request(context, edge, failing)
        edge_simulation.advance_clocks(edges, 1 / rate)


def run_request(context, edge, failing):
    """Run one request, and record the times of its start, its dispatches and its retries."""
    outcome = edge.begin_request("/status/x" if failing else "/plan/x")
    context.request_times.append((edge.now, 1))
    for attempt in range(MAX_ATTEMPTS):
        if not edge_simulation.dispatched_upstream(outcome):
            break
        context.dispatch_times.append((edge.now, 1))
        if attempt:
            context.retry_times.append((edge.now, 1))
        if not failing:
            edge.resume_request(outcome.request_id, builders.a_head(outcome.request_id))
            break
        outcome = edge.resume_request(outcome.request_id, builders.a_failure(outcome.request_id))
    edge.finish_request(outcome.request_id, succeeded=not failing)


@behave.then("it got at most {maximum:d} requests in any second")
def step_check_max_cold_requests(context, maximum):
    assert (
        edge_simulation.max_weight_in_window(context.dispatch_times, 1.0) <= maximum
    ), edge_simulation.max_weight_in_window(context.dispatch_times, 1.0)


@behave.then("it got at least {minimum:d} requests")
def step_check_min_cold_requests(context, minimum):
    assert len(context.dispatch_times) >= minimum, len(context.dispatch_times)


@behave.given("{count:d} instances of one region with upstreams that fail every request")
def step_start_with_failing_upstreams(context, count):
    context.failing = True
    context.edges = [platform_builders.EdgeUnderTest(f"edge-{n}") for n in range(count)]
    for edge in context.edges:
        edge.publish(platform_builders.a_publication())
        for name in ("u1", "u2", "u3"):
            edge.register_upstream(name, capacity=64)
    edge_simulation.discover_all(context.edges)


@behave.then("in any 10 seconds the retries are at most {share:g} of the requests plus {extra:d}")
def step_check_retry_budget(context, share, extra):
    # The bound counts the requests of the same window. They come at an even rate here, so the
    # window with the most requests stands for any.
    retries, request_count = edge_simulation.max_weight_in_window(
        context.retry_times, 10.0
    ), edge_simulation.max_weight_in_window(context.request_times, 10.0)
    assert retries <= share * request_count + extra, (retries, request_count)
    assert retries > 0


@behave.when("a request for {path} is answered 500 by the only upstream")
def step_fail_only_upstream(context, path):
    (edge,) = context.edges
    context.outcome = edge.begin_request(path)
    request_id = context.outcome.request_id
    context.outcome = edge.resume_request(request_id, builders.a_head(request_id, status=500))


@behave.then("its last error is may-have-run and names status 500")
def step_check_last_error(context):
    error = context.outcome.action.error
    assert error.run is errors.RunStatus.MAY_HAVE_RUN, error
    assert "500" in error.detail, error


@behave.when("a request for {path} fails at each upstream, {how}")
def step_fail_at_each_upstream(context, path, how):
    (edge,) = context.edges
    for name in ("m1", "m2", "m3", "m4"):
        edge.register_upstream(name, service="model")
    may_have_run = how == "after it ran"
    code = errors.Code.UPSTREAM_FAILED if may_have_run else errors.Code.UPSTREAM_SHED
    outcome = edge.begin_request(path)
    context.tried_upstreams = []
    while edge_simulation.dispatched_upstream(outcome):
        context.tried_upstreams.append(edge_simulation.dispatched_upstream(outcome))
        failure = builders.a_failure(outcome.request_id, code, may_have_run=may_have_run)
        outcome = edge.resume_request(outcome.request_id, failure)
    assert type(outcome.action) is actions.Refuse
    expected = errors.RunStatus.MAY_HAVE_RUN if may_have_run else errors.RunStatus.NOT_RUN
    assert outcome.action.error.run is expected


@behave.then("it was dispatched {sends:d} times")
def step_check_dispatch_count(context, sends):
    assert len(context.tried_upstreams) == sends, context.tried_upstreams
    assert len(set(context.tried_upstreams)) == sends, context.tried_upstreams


@behave.given("{count:d} instances of one region with upstreams u1, u2 and u3")
def step_start_with_three_upstreams(context, count):
    context.edges = [platform_builders.EdgeUnderTest(f"edge-{n}") for n in range(count)]
    for edge in context.edges:
        edge.publish(platform_builders.a_publication())
        for name in ("u1", "u2", "u3"):
            edge.register_upstream(name)
    edge_simulation.discover_all(context.edges)


@behave.when("the same request has crashed three upstreams at the first instance")
def step_crash_three_upstreams(context):
    edge = context.edges[0]
    crashed_upstreams = set()
    while len(crashed_upstreams) < 3:
        outcome = edge.begin_request("/book/poison")
        crashed_upstream = edge_simulation.dispatched_upstream(outcome)
        failure = builders.a_failure(outcome.request_id, peer=crashed_upstream, crashed=True)
        edge.resume_request(outcome.request_id, failure)
        edge.finish_request(outcome.request_id, succeeded=False)
        crashed_upstreams.add(crashed_upstream)
        edge.now += 3.0


@behave.then("the first instance refuses it as not-run")
def step_check_first_refuses_poison(context):
    outcome = context.edges[0].begin_request("/book/poison")
    assert outcome.action.error.code is errors.Code.POISON
    assert outcome.action.error.run is errors.RunStatus.NOT_RUN
    assert edge_simulation.dispatched_upstream(context.edges[0].begin_request("/book/other"))


@behave.then("the second instance refuses it after a pulse of the first")
def step_check_second_refuses_poison(context):
    first, second = context.edges
    second.now = first.now
    assert edge_simulation.dispatched_upstream(second.begin_request("/book/poison"))
    second.receive_pulse_from(first)
    assert second.begin_request("/book/poison").action.error.code is errors.Code.POISON


UPSTREAM_FIELDS = {
    "an upstream in west": {"zone": "west-a"},
    "no upstream at all": None,
    "a leaving upstream in west": {"zone": "west-a", "state": "draining"},
    "an upstream in an evacuated zone": {"zone": "west-a"},
}


@behave.given("an instance in east, one in west, and {where} for the requests")
def step_start_two_regions(context, where):
    east = platform_builders.EdgeUnderTest("edge-0", region="east")
    west = platform_builders.EdgeUnderTest("edge-1", region="west")
    context.edges = [east, west]
    for edge in context.edges:
        edge.publish(platform_builders.a_publication())
        if UPSTREAM_FIELDS[where] is not None:
            edge.register_upstream("u1", **UPSTREAM_FIELDS[where])
        if "evacuated" in where:
            edge.decisions.config.apply_change(
                "evacuate/west-a", edge.store_item("evacuate/west-a", {}), edge.now
            )
    east.discover(west)


@behave.when("the instance in east gets a request")
def step_request_in_east(context):
    context.outcome = context.edges[0].begin_request()


@behave.then("it is forwarded to west")
def step_check_forwarded_to_west(context):
    work = context.outcome.action.work
    assert work.instance == context.edges[1].decisions.instance, work


@behave.then("it is refused with no-upstream")
def step_check_no_upstream(context):
    assert type(context.outcome.action) is actions.Refuse, context.outcome.action
    assert context.outcome.action.error.code is errors.Code.NO_UPSTREAM


@behave.given("an instance and a published route shared {first:d} to {second:d} by two services")
def step_publish_shared_route(context, first, second):
    context.edge = platform_builders.EdgeUnderTest()
    shared = [{"service": "desk", "weight": first}, {"service": "model", "weight": second}]
    split = platform_builders.a_published_route("split", "/split/", service=None, backends=shared)
    context.edge.publish(platform_builders.a_publication(routes=[split]))
    context.edge.register_upstream("u1", service="desk", capacity=10000)
    context.edge.register_upstream("u2", service="model", capacity=10000)


@behave.when("{count:d} requests of the shared route come in")
def step_send_shared_requests(context, count):
    outcomes = [context.edge.begin_request("/split/x") for _ in range(count)]
    context.shared_dispatches = [
        edge_simulation.dispatched_upstream(outcome) for outcome in outcomes
    ]


@behave.then("the first service gets from {minimum:d} to {maximum:d} of them")
def step_check_shared_counts(context, minimum, maximum):
    assert set(context.shared_dispatches) == {"u1", "u2"}, set(context.shared_dispatches)
    assert (
        minimum <= context.shared_dispatches.count("u1") <= maximum
    ), context.shared_dispatches.count("u1")


@behave.given("instances in {regions}, of which those in {silent} sent no pulse for 5 seconds")
def step_start_regions(context, regions, silent):
    first = platform_builders.EdgeUnderTest("edge-0", region="west")
    region_names = regions.split(", ")
    region_names.remove("west")
    others = [
        platform_builders.EdgeUnderTest(f"edge-{n}", region=p)
        for n, p in enumerate(region_names, 1)
    ]
    for other in others:
        first.discover(other)
    first.now += 5.0
    for other in others:
        other.now += 5.0
        if other.decisions.members.own.region != silent:
            first.receive_pulse_from(other)
    first.decisions.members.own.ready = True
    context.edges = [first, *others]


@behave.when("a caller of {region} looks up a host whose routes have {homes}")
def step_query_directory(context, region, homes):
    first = context.edges[0]
    home_regions = [homes.removeprefix("home ")] if homes.startswith("home ") else []
    routes = [platform_builders.a_published_route("r", "/r/", homeRegions=home_regions)]
    first.publish(platform_builders.a_publication(routes=routes))
    addresses = first.decisions.caller_addresses(platform_builders.HOST, region, first.now)
    regions_by_address = {
        f"{own.host}:{own.caller_port}": own.region
        for own in (edge.decisions.members.own for edge in context.edges)
    }
    context.named_regions = (
        ", ".join(sorted(regions_by_address[address] for address in addresses)) or "nobody"
    )


@behave.then("the directory returns {named}")
def step_check_named_regions(context, named):
    assert context.named_regions == named, context.named_regions


PART_HEADERS = {"X-Prefix-Hash": "abc:6000,e1:100", "X-Token-Usage": "6100,300", "X-Model": "m"}


@behave.given("an instance with two model upstreams whose answers take {seconds:g} seconds")
def step_start_with_models(context, seconds):
    edge = start_edge(context)
    for name in ("m1", "m2"):
        edge.register_upstream(name, service="model", capacity=64)
    outcome = edge.begin_request("/plan/x", **PART_HEADERS)
    context.holder = edge_simulation.dispatched_upstream(outcome)
    edge.now += seconds
    edge.resume_request(outcome.request_id, builders.a_head(outcome.request_id))
    edge.finish_request(outcome.request_id)


@behave.when(
    "its holder of a shared prompt part of 6000 tokens runs {running:d} requests of 64 slots"
)
def step_load_holder(context, running):
    (edge,) = context.edges
    for _ in range(running):
        edge.decisions.registry.record_dispatch(context.holder, prompt_tokens=0, now=edge.now)


@behave.when("a request with that part arrives")
def step_request_part(context):
    (edge,) = context.edges
    outcome = edge.begin_request("/plan/x", **PART_HEADERS)
    context.dispatched = edge_simulation.dispatched_upstream(outcome)


@behave.then("it goes to the {where}")
def step_check_part_place(context, where):
    assert (context.dispatched == context.holder) == (where == "holder"), context.dispatched


@behave.given("two instances of east and one of west that know each other")
def step_start_two_in_east(context):
    context.edges = [
        platform_builders.EdgeUnderTest("edge-1"),
        platform_builders.EdgeUnderTest("edge-2"),
        platform_builders.EdgeUnderTest("edge-3", region="west"),
    ]
    edge_simulation.discover_all(context.edges)


@behave.when(
    "edge-1 has heard edge-2 {age:g} seconds ago, and tells west of it {delay:g} seconds later"
)
def step_tell_of_other(context, age, delay):
    first, second, west = context.edges
    edge_simulation.advance_clocks(context.edges, delay)
    first.receive_pulse_from(second)
    first.now += age
    west.now += age
    west.receive_pulse_from(first)


@behave.then("west takes edge-2 as seen {age:g} seconds ago")
def step_check_seen(context, age):
    _, second, west = context.edges
    other = west.decisions.members.members[second.decisions.instance]
    assert abs(west.now - other.last_seen_at - age) < 1e-6, west.now - other.last_seen_at


@behave.when("a pulse with 2 instances and 1 age is decoded")
def step_decode_mismatch(context):
    pulse = pb.Pulse(instance="edge-1~1", heard_ids=[1, 2], heard_tenths=[3])
    context.raw = pb.Datagram(pulse=pulse).SerializeToString()


@behave.then("decoding fails")
def step_check_decoding_fails(context):
    try:
        datagrams.decode(context.raw)
    except ValueError:
        return
    raise AssertionError("the pulse was decoded")


@behave.given("{count:d} instances of one region with {upstreams:d} upstreams of {slots:d} slots")
def step_start_many_choosers(context, count, upstreams, slots):
    names = [f"u{number + 1}" for number in range(upstreams)]
    context.edges = [platform_builders.EdgeUnderTest(f"edge-{n}") for n in range(count)]
    for edge in context.edges:
        edge.publish(platform_builders.a_publication())
        for name in names:
            edge.register_upstream(name, capacity=slots)
        for other in context.edges:
            if other is not edge:
                other_members = other.decisions.members
                item = edge.store_item(other_members.name, other_members.own.as_dict())
                edge.decisions.members.apply_change(item.key, item, edge.now)
    context.upstream_names = names


@behave.given("all of them know that u1 is idle and that the others run {running:d} requests each")
def step_load_all_but_first(context, running):
    for edge in context.edges:
        for name in context.upstream_names[1:] * running:
            edge.decisions.registry.record_dispatch(name, prompt_tokens=0, now=edge.now)


@behave.when("each instance begins a request")
def step_begin_everywhere(context):
    context.chosen = [
        edge_simulation.dispatched_upstream(edge.begin_request()) for edge in context.edges
    ]


@behave.then("u1 gets at most a quarter of the requests")
def step_check_no_herd(context):
    assert context.chosen.count("u1") <= len(context.chosen) / 4, context.chosen.count("u1")
