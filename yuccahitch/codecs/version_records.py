"""Codec of the software versions of a service, as JSON that operators can read."""

from __future__ import annotations

import json

from yuccahitch.resources import version_record


def to_bytes(record: version_record.VersionRecord) -> bytes:
    """Return a record as JSON."""
    states = {version: state.value for version, state in sorted(record.states.items())}
    return json.dumps({"versions": states, "era": record.era}).encode()


def from_bytes(raw: bytes) -> version_record.VersionRecord:
    """Return the record that JSON holds.

    Raises:
        ValueError: When it is not JSON, or a state is not known.
        KeyError: When a field is missing.
        TypeError: When a field has a wrong type.
        AttributeError: When a field is no object.
    """
    document = json.loads(raw)
    era = document["era"]
    if era is not None and type(era) is not int:
        raise TypeError("expected a whole number as era")
    states = {
        version: version_record.VersionState(state)
        for version, state in document["versions"].items()
    }
    return version_record.VersionRecord(states, era=era)
