"""Writes the reference pages that come from the code: events, errors and settings.

Run as ``python docs/generate.py``; ``make lint`` checks that the pages are up to date.
"""

from __future__ import annotations

import pathlib
import sys

HERE = pathlib.Path(__file__).parent
sys.path.insert(0, str(HERE.parent))

from yuccahitch import _settings_schema, errors, events  # noqa: E402


def events_page() -> str:
    """Return the catalogue of events."""
    rows = "\n".join(f"| {e.number} | `{e.label}` | {e.meaning} |" for e in events.Event)
    return f"""# Events

Each process writes its events as lines of JSON with eliot. Every line has `number`,
`message_type` (the name), `instance`, and `stamp`: a hybrid logical clock in microseconds, which
orders the events of all processes. `yuccahitch timeline LOG...` merges logs by it. No event holds
a key. This page is written by `python docs/generate.py`.

| number | name | meaning |
| --- | --- | --- |
{rows}
"""


def errors_page() -> str:
    """Return the list of error codes."""
    rows = "\n".join(f"| `{c.wire}` | {c.status} | {c.meaning} |" for c in errors.Code)
    return f"""# Errors

Every refusal and failure has a body `{{"error": {{...}}}}` with `code`, `message`, `step` and
`peer` (where it arose), `request_id`, `run`, and `retry_after_s` when a retry makes sense.

`run` is `not-run` only when no byte of this request can have reached an upstream, else
`may-have-run`. A request with an idempotency key also gets `operation`: what is known of earlier
requests with that key (`unknown`, `not-run`, `running`, `done`, `unsettled`). This page is written
by `python docs/generate.py`.

| code | status | meaning |
| --- | --- | --- |
{rows}
"""


def settings_page() -> str:
    """Return the reference of settings."""
    own = _sections(_settings_schema.SCHEMA)
    edge = _sections(_settings_schema.EDGE_SCHEMA)
    return f"""# Settings

One INI file an instance. `yuccahitch check FILE` (`yuccahitch edge --check FILE` for an instance on
the users' platform) reports every mistake at once with section, option, value and what was
expected, and ends with exit code 2. Secrets are never in the file. This page is written by
`python docs/generate.py`.

{own}
# Settings of an instance on the users' platform

An option without a value counts as left out, so that the template `deploy/settings.ini` can name
what a deployment does not give.

{edge}"""


def _sections(schema: _settings_schema.Schema) -> str:
    parts = []
    for section, options in schema.items():
        rows = "\n".join(
            f"| `{name}` | {rule['meta']['meaning']} | {rule['meta']['expected']} "
            f"| {_default(rule['meta']['default'])} |"
            for name, rule in options.items()
        )
        head = "| option | meaning | expected | default |\n| --- | --- | --- | --- |"
        parts.append(f"## [{section}]\n\n{head}\n{rows}\n")
    return "\n".join(parts)


def _default(value: object) -> str:
    if value is None:
        return "required"
    return f"`{value}`" if value != "" else "nothing"


PAGES = {
    "EVENTS.md": events_page,
    "ERRORS.md": errors_page,
    "SETTINGS.md": settings_page,
}


def main() -> None:
    """Write all pages."""
    for name, make in PAGES.items():
        (HERE / name).write_text(make())


if __name__ == "__main__":
    main()
