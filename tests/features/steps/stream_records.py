"""Steps about the records of streams with the software versions that began them."""

from __future__ import annotations

import collections

import behave

from tests import stream_builders, stream_simulation
from yuccahitch.codecs import stream_batches
from yuccahitch.controllers.versions import stream_records


def begin_at(context, names, count, version):
    """Begin some streams at each of some instances, and remember their versions."""
    if not hasattr(context, "streams"):
        context.streams = {}
    for name in names:
        for _ in range(count):
            stream = stream_simulation.begin_stream(context.site, name, version=version)
            context.streams[stream] = version


def recorded_keys(site):
    """Return the keys of all streams in the batches of the store."""
    groups = [
        group
        for key in stream_simulation.batch_keys(site)
        for group in stream_batches.from_bytes(site.items[key].value)
    ]
    return {key for group in groups for key in group.streams}


def known_by(context, name):
    """Return the streams that an instance knows of, other than by inference."""
    edge = context.site.edges[name]
    keys = {stream: stream_builders.a_stream_key(stream) for stream in context.streams}
    return {stream for stream, key in keys.items() if edge.decisions.recorded.find(key) is not None}


@behave.when("{count:d} streams of {version:w} begin at each instance")
def step_begin_everywhere(context, count, version):
    begin_at(context, list(context.site.edges), count, version)


@behave.when("{count:d} streams of {version:w} begin at {name:S}")
def step_begin(context, count, version, name):
    begin_at(context, [name], count, version)


@behave.when("all instances are killed and start again")
def step_kill_all(context):
    names = list(context.site.edges)
    for name in names:
        context.site.kill(name)
    for name in names:
        context.site.start(name, first_start=False)
    context.site.run(1.0)


@behave.when("{name:S} ends without notice")
def step_kill(context, name):
    context.site.kill(name)


@behave.when("{name:S} starts again without notice")
def step_restart(context, name):
    context.site.start(name, first_start=False)
    context.site.run(1.0)


@behave.then("each stream is taken up at the version that began it, at every instance")
def step_check_taken_up(context):
    assert set(context.streams.values()) == {"v1", "v2"}
    for name, edge in context.site.edges.items():
        for stream, version in context.streams.items():
            outcome = stream_simulation.take_up(context.site, name, stream)
            assert outcome is not None, (name, stream)
            edge.finish_request(outcome.request_id, succeeded=False)
            assert stream_simulation.went_to(outcome) == version, (name, stream, version)


@behave.when(
    "3 streams of v1 begin at edge-1, one of which ends in full and one breaks off before they are "
    "recorded"
)
def step_begin_three(context):
    begin_at(context, ["edge-1"], 3, "v1")
    first, second, _ = context.streams
    edge = context.site.edges["edge-1"]
    edge.finish_request(first)
    edge.finish_request(second, succeeded=False)


@behave.then("{count:d} streams are recorded")
def step_check_count(context, count):
    assert len(recorded_keys(context.site)) == count, recorded_keys(context.site)


@behave.then("{count:d} streams are recorded, in batches of at most {limit:d}")
def step_check_batches(context, count, limit):
    step_check_count(context, count)
    for key in stream_simulation.batch_keys(context.site):
        groups = stream_batches.from_bytes(context.site.items[key].value)
        assert sum(len(group.streams) for group in groups) <= limit
    assert len(stream_simulation.batch_keys(context.site)) <= 1 + 2 * count // limit


@behave.when("the leases of all batches in the store end {seconds:g} seconds later")
def step_end_leases(context, seconds):
    site = context.site
    context.batch_leases = [
        lease
        for lease, keys in site.leases.items()
        if any(key.startswith(stream_records.PREFIX) for key in keys)
    ]
    site.run(seconds)
    for lease in context.batch_leases:
        site.end_lease(lease)


@behave.then("no lease of a batch was renewed")
def step_check_not_renewed(context):
    assert context.batch_leases and not context.site.renewed.intersection(context.batch_leases)


@behave.given("the store takes {writes:g} writes a second")
def step_limit_writes(context, writes):
    for edge in context.site.edges.values():
        edge.decisions.origins.writes_per_s = writes


@behave.when("{count:d} streams of v1 are remembered by {name:S}")
def step_remember(context, count, name):
    origins = context.site.edges[name].decisions.origins
    for key in range(count):
        origins.begin(key, stream_builders.SERVICE, "v1")


@behave.when("a stream begins at each instance every {pause:g} seconds for {seconds:g} seconds")
def step_begin_steadily(context, pause, seconds):
    site = context.site
    counted = ("Commit", "GrantLease")
    context.seconds = seconds
    before = sum(site.calls_by_type[name] for name in counted)
    for _ in range(round(seconds / pause)):
        for name in site.edges:
            stream_simulation.begin_stream(site, name)
        site.run(pause)
    context.writes = sum(site.calls_by_type[name] for name in counted) - before


@behave.then(
    "at most a quarter of {writes:d} writes a second were made, and two more by each instance"
)
def step_check_most(context, writes):
    limit = writes / 4 * context.seconds + 2 * len(context.site.edges)
    assert context.writes <= limit, (context.writes, limit)


@behave.then("at least {count:d} writes were made")
def step_check_least(context, count):
    assert context.writes >= count, context.writes


@behave.when("5 streams of v1 begin at edge-1 while the store refuses everything")
def step_refuse(context):
    context.site.refusing = True
    begin_at(context, ["edge-1"], 5, "v1")
    context.site.run(2.0)
    context.site.refusing = False


@behave.when("5 streams of v1 begin at edge-1 while the replies to all commits are lost")
def step_lose(context):
    context.site.replies_lost = set(context.site.edges)
    begin_at(context, ["edge-1"], 5, "v1")
    context.site.run(2.0)
    context.site.replies_lost = set()


@behave.when("5 streams of v1 begin at edge-1 while the lease of the batches ends")
def step_lose_lease(context):
    begin_at(context, ["edge-1"], 4, "v1")
    context.site.run(1.0)
    step_end_leases(context, 0.0)
    begin_at(context, ["edge-1"], 1, "v1")


@behave.then("the {count:d} streams are found by {name:S}")
def step_check_found(context, count, name):
    assert len(known_by(context, name)) == count, known_by(context, name)


@behave.then("none of the streams is found by {name:S}")
def step_check_not_found(context, name):
    assert not known_by(context, name)


@behave.when("another writer leaves bytes that are no batch")
def step_spoil(context):
    context.site.write(f"{stream_records.PREFIX}other/0", b"\xff\xff\xff")


@behave.when(
    "each instance begins a stream every {pause:g} seconds that lasts {length:g} seconds, and "
    "{count:d} instances die one after the other"
)
def step_play_deaths(context, pause, length, count):
    site = context.site
    open_streams = collections.deque()
    context.taken = []
    for number, name in enumerate(list(site.edges)[:count]):
        for _ in range(round(2 * length / pause)):
            begun = [(n, stream_simulation.begin_stream(site, n)) for n in site.edges]
            open_streams.append(begun)
            site.run(pause)
            if len(open_streams) * pause > length:
                finish_all(site, open_streams.popleft())
        # The youngest streams are of an age between 0 and the pause.
        open_streams.append([(n, stream_simulation.begin_stream(site, n)) for n in site.edges])
        site.run(pause * number / count)
        broken = [s for begun in open_streams for n, s in begun if n == name]
        site.kill(name)
        last = list(site.edges)[-1]
        for stream in broken:
            context.taken.append(stream_simulation.settled_take_up(site, last, stream))


def finish_all(site, begun):
    """End streams in full at the instances that still run."""
    for name, stream in begun:
        if name in site.edges:
            site.edges[name].finish_request(stream)


@behave.then("at least {share:g} of the open streams of those that died go on elsewhere")
def step_check_share(context, share):
    went_on = sum(result in ("v1", "v2") for result in context.taken)
    assert went_on >= share * len(context.taken) > 20, (went_on, len(context.taken))
    print(f"{went_on} of {len(context.taken)} open streams went on")
