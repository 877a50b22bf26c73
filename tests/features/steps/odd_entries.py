"""Steps about odd entries that another writer leaves in the store."""

from __future__ import annotations

import json

import behave

from tests import edge_simulation, platform_builders
from yuccahitch.codecs import platform as instance_lists

NESTED = "[" * 100_000 + "]" * 100_000
# JSON of each value.
VALUES = {
    "lists nested 100000 deep": NESTED,
    "a number too large for a float": "1e999",
    "a whole number of 40 digits": "9" * 40,
    "a whole number of 5000 digits": "9" * 5000,
    "a negative number": "-1",
    "no number": "NaN",
    "a truth value": "true",
    "nothing": "null",
    "an object": "{}",
    "a list": "[]",
    "an empty text": '""',
    "half a surrogate pair": '"\\ud800"',
    "a text with a line feed": '"a\\nb"',
    "an address with port 70000": '"127.0.0.1:70000"',
    "an address with port 0": '"127.0.0.1:0"',
    "an address with a port in Arabic digits": '"127.0.0.1:٨٠٨٠"',
    "an address with a NUL in its host": '"127.0.0.1\\u0000:8080"',
    "a text of a million letters": json.dumps("a" * 1_000_000),
    "an instance of numbers": json.dumps(
        dict.fromkeys("instance region zone host caller_port peer_port wan_address".split(), 7)
    ),
}
VALUES["a NUL in the host"] = json.dumps(
    dict.fromkeys(("instance", "region", "zone", "wan_address"), "east")
    | {"host": "127.0.0.1\0", "caller_port": 1, "peer_port": 1}
)
RAW_ENTRIES = {"no text": b"\xff\xfe\xfd", "no JSON": b"{", "a sound entry": None}


def sound_entry(name):
    return platform_builders.a_registration(address=f"127.0.0.1:{9000 + len(name)}", sequence=1)


def write_sound(context, name):
    context.site.write(f"servers/{name}", platform_builders.to_bytes(sound_entry(name)))
    context.site.run(0.5)


@behave.when(
    "an entry of which each field in turn holds {value} is written among those of upstreams"
)
def step_write_odd_fields(context, value):
    write_sound(context, "a-before")
    fields = sound_entry("odd") | {"version": "v1", "shutdownInMs": 5000}
    for number, field in enumerate(fields):
        text = json.dumps(fields | {field: "ODD"}).replace('"ODD"', VALUES[value])
        context.site.write(f"servers/odd{number}", text.encode("utf-8"))
        context.site.run(0.2)
    write_sound(context, "z-after")


@behave.when("{entry} is written under {key}")
def step_write_odd_entry(context, entry, key):
    write_sound(context, "a-before")
    raw = RAW_ENTRIES[entry] if entry in RAW_ENTRIES else VALUES[entry].encode()
    context.site.write(key, raw or platform_builders.to_bytes(sound_entry("odd")))
    context.site.run(0.5)
    if key == "op/config":
        context.site.publish(2)
    write_sound(context, "z-after")


def check_instance(edge, now):
    used = {edge_simulation.dispatched_upstream(edge.begin_request()) for _ in range(60)}
    assert {"a-before", "z-after"} <= used, (edge.decisions.instance, used)
    edge.decisions.registry.count_by_state(now)
    assert "east" not in edge.decisions.members.members
    assert len(edge.decisions.members.reachable_members(now)) >= 2


@behave.then(
    "sound upstreams that register before and after it are known and used at every instance"
)
def step_check_sound(context):
    context.site.run(3.0)
    for edge in context.site.edges.values():
        check_instance(edge, context.site.now)


@behave.then("an instance that starts now knows them too")
def step_check_new_instance(context):
    edge = context.site.start("edge-new")
    context.site.run(3.0)
    check_instance(edge, context.site.now)


@behave.when("the entry of u1 can't be read for a moment")
def step_break_entry(context):
    (edge,) = context.edges
    edge.decisions.registry.apply_change("u1", edge.store_item("u1", b"{"), edge.now)
    edge.now += 0.1
    edge.register_upstream("u1")


ODD_LISTS = {
    "the instance list": (
        instance_lists.instances_from_json,
        "instances",
        {"name": "i1", "address": "http://127.0.0.1:1", "role": "upstream", "state": "leaving"},
    ),
    "the client directory": (
        instance_lists.clients_from_json,
        "clients",
        {"name": "c1", "revision": 1},
    ),
}


@behave.given("{source} of which one entry is odd")
def step_read_odd_list(context, source):
    decode, field, sound = ODD_LISTS[source]
    odd = [None, 7, [], {}, {"name": "odd", "revision": float("inf")}, {"name": ["odd"]}]
    context.sound_count = 2
    context.odd_count = len(odd)
    context.listing = decode({field: [sound, *odd, sound]})


@behave.then("the sound entries are read, and the odd one is named")
def step_check_odd_list(context):
    assert len(context.listing.entries) == context.sound_count
    assert len(context.listing.unreadable) == context.odd_count
