"""Instances of a zone, in virtual time, with upstreams of several software versions."""

from __future__ import annotations

from tests import platform_builders, stream_builders, zone_simulation
from yuccahitch.codecs import version_records
from yuccahitch.controllers.versions import served_versions, stream_records
from yuccahitch.messages import actions
from yuccahitch.resources import version_record

VERSIONS_KEY = served_versions.PREFIX + stream_builders.SERVICE
# Time until the first record of a service is known to all, in seconds.
START_S = 3.0
# Time within which a take-up goes on or is refused, in seconds.
MAX_WAIT_S = 1.0


def register(
    site: zone_simulation.Site, version: str, *, count: int = 2, state: str = "ready"
) -> None:
    """Let upstreams of a software version register, named after it, or write another state."""
    for number in range(count):
        entry = platform_builders.a_registration(
            service=stream_builders.SERVICE,
            version=version,
            address=f"127.0.0.1:{number + 1}",
            capacity=10_000,
            state=state,
        )
        site.write(f"servers/{version}-{number}", platform_builders.to_bytes(entry))


def leave(site: zone_simulation.Site, version: str, *, count: int = 2) -> None:
    """Remove the entries of the upstreams of a software version."""
    for number in range(count):
        site.write(f"servers/{version}-{number}", None)


def a_site(
    *versions: str, count: int = 3, bounds: dict[str, str] | None = None
) -> zone_simulation.Site:
    """Return running instances whose service has upstreams of some versions."""
    site = zone_simulation.Site(count, bounds=bounds)
    for version in versions:
        register(site, version)
    site.run(START_S)
    return site


def stored_record(site: zone_simulation.Site) -> version_record.VersionRecord | None:
    """Return the versions of the service in the store, or None."""
    item = site.items.get(VERSIONS_KEY)
    return None if item is None else version_records.from_bytes(item.value)


def stored_states(site: zone_simulation.Site) -> dict[str, str]:
    """Return the state of each version in the store."""
    record = stored_record(site)
    return {} if record is None else {v: state.value for v, state in record.states.items()}


def batch_keys(site: zone_simulation.Site) -> list[str]:
    """Return the keys of the batches of streams in the store."""
    return [key for key in site.items if key.startswith(stream_records.PREFIX)]


def begin_stream(site: zone_simulation.Site, name: str, *, version: str = "") -> str:
    """Begin a stream at an instance, at a version if one is given; return its request id.

    Raises:
        ValueError: When no stream of 100 began there.
    """
    edge = site.edges[name]
    elsewhere = []
    for _ in range(100):
        outcome = edge.begin_request(stream_builders.STREAM_PATH, **{"X-Deadline-Ms": "500000"})
        if type(outcome.action) is not actions.Perform:
            raise ValueError(outcome.action)
        began = outcome.action.work.software_version
        if version in ("", began):
            break
        elsewhere.append(outcome.request_id)
    for request_id in elsewhere:
        edge.finish_request(request_id, succeeded=False)
    if version not in ("", began):
        raise ValueError(version)
    edge.resume_request(outcome.request_id, stream_builders.a_head(outcome.request_id, began))
    return outcome.request_id


def take_up(site: zone_simulation.Site, name: str, stream: str, **headers: str):
    """Take a stream up at an instance; return the next action, or None while it waits."""
    return site.edges[name].begin_request(
        stream_builders.STREAM_PATH, **({"Last-Event-Id": "3", "Resumes": stream} | headers)
    )


def settled_take_up(site: zone_simulation.Site, name: str, stream: str) -> str:
    """Take a stream up and let it wait as long as it has to; return where it went."""
    outcome = take_up(site, name, stream)
    if outcome is None:
        request_id = next(reversed(site.edges[name].decisions.in_flight.contexts))
        site.run(MAX_WAIT_S)
        outcome = site.outcomes.pop(request_id)
    site.edges[name].finish_request(outcome.request_id, succeeded=False)
    return went_to(outcome)


def went_to(outcome) -> str:
    """Return the version to which a request was sent, or the code with which it was refused."""
    if type(outcome.action) is actions.Refuse:
        return outcome.action.error.code.wire
    return outcome.action.work.software_version
