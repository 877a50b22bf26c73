"""Trouble for the site of ``version_simulation``, drawn from its seed."""

from __future__ import annotations

import functools

from fakes import platform_store
from yuccahitch import errors

PEER_FAILED = errors.Code.PEER_FAILED
# Length of the plans, in seconds.
MIXED_S = 45.0
RACES_S = 25.0
STALE_S = 20.0
# Instances that have their zone for themselves, so that nobody passes changes of the store on.
LONE_INSTANCES = ("edge-4", "edge-5")
# Time during which no trouble begins at the end of a run, in seconds.
QUIET_END_S = 8.0
# Time for which an upstream serves on after its entry is gone or says that it is leaving, in
# seconds.
SERVES_ON_S = 3.5
# Time until the entry of an upstream that crashed is removed, in seconds.
ENTRY_LAPSES_S = 1.5
# Time between two upstreams that start again, and the time that they take, in seconds.
REPLACE_GAP_S = 0.4
REPLACE_START_S = (0.3, 1.5)
STORE = "store"


def mixed(site):
    """Schedule releases of other versions with all kinds of trouble beside them."""
    schedule_faults(site, site.clock.now + MIXED_S - QUIET_END_S)
    return MIXED_S


def schedule_faults(site, end):
    """Schedule trouble until a moment."""
    rng = site.rng
    at = site.clock.now + rng.uniform(0.5, 6.0)
    while at < end:
        site.clock.schedule_at(at, functools.partial(rng.choice(FAULTS), site))
        at += rng.choice((rng.uniform(0.0, 0.5), rng.uniform(0.5, 6.0)))


def races(site):
    """Schedule the first release of another version, with the loss of all instances around it."""
    rng = site.rng
    at = rng.uniform(3.0, 6.0)
    for _ in range(rng.randrange(4)):
        before = rng.choice((cut_one, pause_one, store_away, lose_replies, kill_one))
        site.clock.schedule_after(at + rng.uniform(-3.0, 4.0), functools.partial(before, site))
    site.clock.schedule_after(at, functools.partial(release, site))
    for _ in range(rng.choice((1, 1, 2))):
        delay_s = at + rng.uniform(-0.5, 6.0)
        site.clock.schedule_after(delay_s, functools.partial(kill_all, site))
    return RACES_S


def ages(site):
    """Schedule releases long after each other, with the loss of all instances around them."""
    rng = site.rng
    at = 5.0
    for _ in range(3):
        site.clock.schedule_after(at, functools.partial(release, site))
        for _ in range(2):
            kill_at = at + rng.choice((rng.uniform(0.0, 8.0), rng.uniform(0.0, 30.0)))
            site.clock.schedule_after(kill_at, functools.partial(kill_all, site))
        at += rng.choice((rng.uniform(10.0, 40.0), rng.uniform(125.0, 150.0)))
    return at + QUIET_END_S


def stale(site):
    """Schedule a release that instances alone in their zones don't hear of, and hasty callers."""
    rng = site.rng
    site.stream_interval_s, site.leaving_share, site.leave_s = 0.1, 0.9, (0.5, 0.8)
    site.pauses_s, site.max_pause_s = (0.02,), 0.3
    at = rng.uniform(3.0, 5.0)
    for name in LONE_INSTANCES:
        cut = functools.partial(cut_off, site, name, rng.uniform(3.0, 12.0))
        site.clock.schedule_after(at - rng.choice((0.1, rng.uniform(0.0, 2.5))), cut)
    site.clock.schedule_after(at, functools.partial(release, site))
    return STALE_S


def replaced(site):
    """Schedule releases in place: upstreams start again under their ids with another version."""
    at = site.rng.uniform(3.0, 5.0)
    for number in range(2):
        replace = functools.partial(replace_in_place, site, f"r{number}")
        site.clock.schedule_after(at + 7.0 * number, replace)
    return RACES_S


def replaced_unheard(site):
    """Schedule releases in place while some instances don't reach the store."""
    for _ in range(3):
        site.clock.schedule_after(site.rng.uniform(2.0, 14.0), functools.partial(cut_one, site))
    return replaced(site)


def replace_in_place(site, version):
    """Let the upstreams of a service start again one after another, with another version."""
    site.note(f"upstreams of model start again one after another, with {version}")
    former = [item for item in site.upstreams.values() if item.service == "model"]
    for number, upstream in enumerate(former):
        stop = functools.partial(start_as, site, upstream, version)
        site.clock.schedule_after(REPLACE_GAP_S * number, stop)


def start_as(site, upstream, version):
    """Let an upstream end, and start again under its id with another version."""
    upstream.is_up = upstream.is_listed = False
    start_s = site.rng.uniform(*REPLACE_START_S)
    site.clock.schedule_after(start_s, functools.partial(site.replace, upstream, version))


def restores(site):
    """Schedule a release that the store forgets while all instances are lost."""
    rng = site.rng
    at, away_s = rng.uniform(3.0, 5.0), rng.uniform(0.5, 2.0)
    kill_at = at + rng.uniform(2.5, 7.0)
    site.clock.schedule_after(at, functools.partial(keep_and_restore, site, kill_at - at, away_s))
    site.clock.schedule_after(at + 0.1, functools.partial(release, site))
    site.clock.schedule_after(kill_at, functools.partial(kill_all, site))
    return RACES_S


def keep_and_restore(site, delay_s, away_s):
    """Copy the store, let it be away after some time, and come back from the copy."""
    copy = platform_store.Copy(site.store)

    def take_away():
        if site.store.is_away:
            return
        site.note(f"the store is away for {away_s:.1f}, and comes back {delay_s:.1f} older")
        site.store.is_away = True
        site.clock.schedule_after(away_s, functools.partial(store_back, site, away_s, copy))

    site.clock.schedule_after(delay_s, take_away)


def serving_versions(site, service):
    """Return the versions of a service that have an entry."""
    return sorted(
        {item.version for item in site.upstreams.values() if item.is_listed and item.is_up}
        & {item.version for item in site.upstreams.values() if item.service == service}
    )


def release(site):
    """Let another version begin to serve, and the versions before stay or leave soon after."""
    service = site.rng.choice(("model", "model", "draft"))
    before = serving_versions(site, service)
    known = {item.version for item in site.upstreams.values() if item.service == service}
    former = sorted(known - set(before))
    version = f"{service[0]}{len(known) + 1}"
    if former and site.rng.random() < 0.5:
        version = site.rng.choice(former)
    site.add_upstreams(service, version)
    if len(before) > 1 or site.rng.random() < 0.6:
        delay_s = site.rng.choice((0.0, 0.5, site.rng.uniform(0, 15)))
        site.clock.schedule_after(delay_s, functools.partial(leave, site, service, before[:1]))


def leave(site, service, versions):
    """Let the upstreams of some versions leave, with or without a word before."""
    for version in versions:
        if len(serving_versions(site, service)) < 2:
            return
        says_so = site.rng.random() < 0.5
        site.note(f"{service} {version} leaves {'draining' if says_so else 'without a word'}")
        for upstream in [item for item in site.upstreams.values() if item.version == version]:
            if not upstream.is_listed:
                continue
            upstream.is_listed = False
            if says_so:
                site.register(upstream, state="draining", sequence=2)
                site.clock.schedule_after(SERVES_ON_S, functools.partial(unlist, site, upstream))
            else:
                unlist(site, upstream)
            ends = functools.partial(setattr, upstream, "is_up", False)
            site.clock.schedule_after(SERVES_ON_S + site.rng.uniform(0, 2), ends)


def unlist(site, upstream):
    """Remove the entry of an upstream."""
    upstream.is_listed = False
    site.store.write(f"servers/{upstream.name}", None)


def crash_upstreams(site):
    """Let some upstreams crash and come back."""
    for upstream in [item for item in site.upstreams.values() if item.is_listed and item.is_up]:
        if site.rng.random() < 0.3:
            site.note(f"{upstream.name} crashes")
            upstream.is_up = False
            remove = functools.partial(lapse, site, upstream)
            site.clock.schedule_after(ENTRY_LAPSES_S, remove)
            site.clock.schedule_after(2.5, functools.partial(revive, site, upstream))


def lapse(site, upstream):
    """Remove the entry of an upstream that has crashed."""
    if not upstream.is_up:
        site.store.write(f"servers/{upstream.name}", None)


def revive(site, upstream):
    """Start a crashed upstream again, unless it has left meanwhile."""
    if upstream.is_listed:
        upstream.is_up = True
        upstream.serves_since = site.clock.now
        upstream.born_ms = int(site.clock.now * 1000)
        site.register(upstream)


def kill_one(site):
    """Kill an instance, and start it again."""
    name = site.rng.choice(sorted(site.touched_at.keys() - {STORE}))
    site.note(f"{name} dies")
    site.kill(name)
    site.clock.schedule_after(site.rng.uniform(0.3, 3.0), functools.partial(start, site, name))


def kill_all(site):
    """Kill all instances at once, and start them again."""
    site.note("all instances die")
    for name in list(site.edges):
        site.kill(name)
        site.clock.schedule_after(site.rng.uniform(0.3, 3.0), functools.partial(start, site, name))


def start(site, name):
    """Start an instance if it does not run."""
    if name not in site.edges:
        site.note(f"{name} starts")
        site.start(name)


def cut_one(site):
    """Cut an instance off from the store."""
    name = site.rng.choice(sorted(site.touched_at.keys() - {STORE}))
    cut_off(site, name, site.rng.uniform(0.5, 8.0))


def cut_off(site, name, seconds):
    """Cut an instance off from the store for some time."""
    site.note(f"{name} is cut off for {seconds:.1f}")
    site.cut_until[name] = site.touched_at[name] = site.clock.now + seconds


def pause_one(site):
    """Let an instance stand still."""
    name = site.rng.choice(sorted(site.touched_at.keys() - {STORE}))
    seconds = site.rng.uniform(0.3, 4.0)
    site.note(f"{name} stands still for {seconds:.1f}")
    site.paused_until[name] = site.touched_at[name] = site.clock.now + seconds


def store_away(site):
    """Let the store be away; leases go on or stand still."""
    if site.store.is_away:
        return
    seconds = site.rng.uniform(0.5, 4.0)
    site.note(f"the store is away for {seconds:.1f}")
    site.store.is_away = True
    site.clock.schedule_after(seconds, functools.partial(store_back, site, seconds, None))


def lose_replies(site):
    """Let the store lose replies for a while; it may carry the calls out late."""
    seconds = site.rng.uniform(1.0, 5.0)
    site.note(f"the store loses replies for {seconds:.1f}")
    site.lossy_until = site.touched_at[STORE] = site.clock.now + seconds


def restore_store(site):
    """Let the store be away and come back from a copy that is some seconds old."""
    if site.store.is_away:
        return
    keep_and_restore(site, site.rng.uniform(0.5, 9.0), site.rng.uniform(0.2, 2.0))


def store_back(site, away_s, copy):
    """Let the store be back, from a copy if there is one."""
    site.store.is_away = False
    site.touched_at[STORE] = site.clock.now
    if site.rng.random() < 0.5:
        site.store.extend_leases(away_s)
    if copy is not None:
        site.store.restore(copy)
        site.clock.schedule_after(site.rng.uniform(0.1, 1.5), functools.partial(rewrite, site))


def rewrite(site):
    """Write again what operators and upstreams have written."""
    site.publish()
    for upstream in site.upstreams.values():
        if upstream.is_listed and upstream.is_up:
            site.register(upstream)
        else:
            site.store.write(f"servers/{upstream.name}", None)


def reset_connections(site):
    """Break the attempts at one instance off."""
    name = site.rng.choice(sorted(site.edges) or [""])
    site.note(f"{name} loses its connections")
    site.connections.drop(name)
    for run in list(site.runs.get(name, {}).values()):
        if run.is_open and run.upstream is not None and not site.is_paused(name):
            run.fail(errors.Code.UPSTREAM_FAILED, may_have_run=True, peer=run.upstream.name)


FAULTS = (
    release,
    release,
    release,
    crash_upstreams,
    kill_one,
    kill_one,
    kill_all,
    kill_all,
    cut_one,
    pause_one,
    store_away,
    lose_replies,
    restore_store,
    reset_connections,
)
PLANS = {
    "mixed": mixed,
    "races": races,
    "stale": stale,
    "ages": ages,
    "restores": restores,
    "replaced": replaced,
    "replaced-unheard": replaced_unheard,
}
