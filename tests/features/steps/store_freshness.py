"""Steps for the age of what instances know of the platform's store."""

from __future__ import annotations

import math

import behave

from tests import reader_troubles, zone_simulation
from yuccahitch.codecs import datagrams
from yuccahitch.codecs.generated import peer_pb2 as pb
from yuccahitch.controllers.store_view import freshness
from yuccahitch.messages import store

WATCH_S = 2.0
PHASE_STEP_S = 0.2
SETTLE_S = 5.0
NOW_S = 1000.0


def in_set(attribute):
    return lambda site, names: getattr(site, attribute).update(names)


def delay_replies(site, names):
    site.reply_delay_s.update(dict.fromkeys(names, 1.0))


FAILURES = {
    "all readers are cut off from the store": in_set("cut"),
    "all watches of the readers get no replies": in_set("muted"),
    "all readers stand still": in_set("paused"),
    "all replies to the readers take a second": delay_replies,
    "all datagrams of the readers are lost": in_set("dropped"),
}


@behave.given(
    "{count:d} running instances of a zone with an upstream, and a bound of {bound:d} seconds"
)
def step_prepare_zone(context, count, bound):
    context.bounds = {"drain_ms": str(bound * 1000), "config_ms": str(bound * 1000)}
    context.count = count


@behave.when(
    "{failure} at each moment between two polls, and the upstream is {change} {delay:g} seconds "
    "later"
)
def step_fail_readers(context, failure, change, delay):
    context.runs = [
        start_failure(context, FAILURES[failure], phase * PHASE_STEP_S)
        for phase in range(int(WATCH_S / PHASE_STEP_S))
    ]
    for site, news in context.runs:
        site.run(delay)
        news.take_upstream_away(announced=change == "draining")


def start_failure(context, fail, phase_s):
    site = zone_simulation.Site(context.count, bounds=context.bounds)
    site.run(SETTLE_S + phase_s)
    readers = site.readers()
    calm = sorted(site.edges.keys() - set(readers))
    news = reader_troubles.LateNews(site, calm)
    news.register_upstream()
    news.run(1.0)
    assert all(news.uses(name) for name in calm)
    fail(site, readers)
    return site, news


@behave.then(
    "each time no instance that reaches the store uses the upstream after {limit:g} seconds"
)
def step_check_unused(context, limit):
    for _, news in context.runs:
        news.run(limit + 2.0)
        assert not news.open_changes, news.open_changes
    worst_s = max(news.worst_s for _, news in context.runs)
    assert worst_s <= limit, worst_s


@behave.when(
    "series of troubles with the seeds {first:d} to {last:d} run with a bound of {bound:d} seconds"
)
def step_run_series(context, first, last, bound):
    bounds = {"drain_ms": str(bound * 1000), "config_ms": str(bound * 1000)}
    context.series = {
        seed: reader_troubles.run_series(seed, bounds=bounds) for seed in range(first, last + 1)
    }


@behave.then("in each of them every change was in force at calm instances after {limit:g} seconds")
def step_check_series(context, limit):
    late = {
        seed: (news.worst_s, news.worst_change, news.open_changes)
        for seed, news in context.series.items()
        if news.worst_s > limit or news.open_changes
    }
    assert not late, late


@behave.when("a poll that waits {wait:g} seconds is answered after {seconds:g} seconds {content}")
def step_answer_poll(context, wait, seconds, content):
    changes = [store.KeyChange("key", None, revision=2)] if content == "with changes" else []
    reply = store.KeysChanged(changes, revision=2)
    context.now = NOW_S + seconds
    context.known_at = freshness.known_until(reply, sent_at=NOW_S, wait_s=wait, now=context.now)


@behave.then("the store is known as it was {age:g} seconds ago")
def step_check_known(context, age):
    assert math.isclose(context.now - context.known_at, age, abs_tol=1e-6), context.known_at


@behave.then("the next poll waits {next_s:g} seconds of at most 2")
def step_check_next_wait(context, next_s):
    wait_s = freshness.next_wait_s(context.known_at, context.now, longest_s=2.0)
    assert wait_s == next_s, wait_s


@behave.when(
    "an entry that was known {age:g} seconds ago is found missing, with a bound of {bound:g} "
    "seconds"
)
def step_find_missing(context, age, bound):
    times = freshness.Freshness(drain_s=bound, config_s=bound, watch_s=WATCH_S)
    context.used_s = times.removal_at(NOW_S - age, NOW_S) - NOW_S


@behave.then("its upstream is used for {used:g} seconds more")
def step_check_used(context, used):
    assert math.isclose(context.used_s, used, abs_tol=1e-6), context.used_s


@behave.when("instance 1 gets a report without an age from a reader")
def step_receive_report_without_age(context):
    edge = context.site.edges["edge-1"]
    context.sender = context.site.edges["edge-2"].decisions.instance
    edge.decisions.relay.readers.clear()
    message = pb.FeedReport(instance=context.sender, revision=edge.decisions.feed.revision)
    raw = pb.Datagram(feed=message).SerializeToString()
    edge.decisions.on_report(datagrams.decode(raw), edge.now)


@behave.then("the reports of that reader are not sound")
def step_check_unsound(context):
    decisions = context.site.edges["edge-1"].decisions
    reader = decisions.relay.readers[context.sender]
    assert not reader.is_sound(context.site.now, max_age_s=decisions.times.max_age_s)
