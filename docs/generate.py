"""Generates the reference pages of events, errors and settings from the code.

Run as ``python docs/generate.py``; ``make lint`` checks that the pages are up to date.
"""

from __future__ import annotations

import pathlib
import sys

HERE = pathlib.Path(__file__).parent
sys.path.insert(0, str(HERE.parent))

from yuccahitch import _settings_schema, errors, events  # noqa: E402


def render_events() -> str:
    """Return the page that lists all events, in Markdown."""
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


def render_errors() -> str:
    """Return the page that lists all error codes, in Markdown."""
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


def render_settings() -> str:
    """Return the page of all settings, in Markdown."""
    instance_sections = _render_sections(_settings_schema.SCHEMA)
    edge_sections = _render_sections(_settings_schema.EDGE_SCHEMA)
    return f"""# Settings

One INI file an instance. `yuccahitch check FILE` (`yuccahitch edge --check FILE` for an instance on
the users' platform) reports every mistake at once with section, option, value and what was
expected, and ends with exit code 2. Secrets are never in the file. This page is written by
`python docs/generate.py`.

{instance_sections}
# Settings of an instance on the users' platform

An option without a value counts as left out, so that the template `deploy/settings.ini` can name
what a deployment does not give.

{edge_sections}"""


def _render_sections(schema: _settings_schema.Schema) -> str:
    """Return a heading and a table of options for each section of a schema."""
    sections = []
    for section, options in schema.items():
        rows = "\n".join(
            f"| `{name}` | {rule['meta']['meaning']} | {rule['meta']['expected']} "
            f"| {_format_default(rule['meta']['default'])} |"
            for name, rule in options.items()
        )
        table_head = "| option | meaning | expected | default |\n| --- | --- | --- | --- |"
        sections.append(f"## [{section}]\n\n{table_head}\n{rows}\n")
    return "\n".join(sections)


def _format_default(value: object) -> str:
    """Return the table cell for a default; an option whose default is None is required."""
    if value is None:
        return "required"
    return f"`{value}`" if value != "" else "nothing"


PAGES = {
    "EVENTS.md": render_events,
    "ERRORS.md": render_errors,
    "SETTINGS.md": render_settings,
}


def main() -> None:
    """Write all pages to the folder of this file."""
    for name, render in PAGES.items():
        (HERE / name).write_text(render())


if __name__ == "__main__":
    main()
