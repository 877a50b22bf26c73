"""Runs all features and ends with a line ``N passed, N failed``.

Scenarios listed in KNOWN-RED.txt run too; their failures are printed and do not fail the run.
A listed scenario that passes fails the run, so that the list stays up to date.
"""

from __future__ import annotations

import collections
import io
import json
import pathlib
import sys

from behave import __main__ as behave_main

from tests import event_coverage

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
MAX_REASON_CHARACTERS = 1500
SCENARIO_PREFIX = "test: "


def known_failures() -> set[str]:
    """Return the names of the scenarios listed in KNOWN-RED.txt."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return {
        line.removeprefix(SCENARIO_PREFIX) for line in lines if line.startswith(SCENARIO_PREFIX)
    }


def scenario_statuses(report: str) -> dict[str, str]:
    """Return the status of each scenario, by feature and scenario name, from a JSON report."""
    statuses = {}
    for feature in json.loads(report or "[]"):
        for element in feature.get("elements", []):
            if element["type"] == "scenario":
                statuses[f"{feature['name']} / {element['name'].strip()}"] = element["status"]
    return statuses


def failure_reasons(report: str) -> dict[str, str]:
    """Return the failed steps with their messages, by scenario, from a JSON report."""
    return {
        f"{feature['name']} / {element['name'].strip()}": "\n".join(
            f"{step['name']}: {''.join(step['result'].get('error_message', []))}"
            for step in element["steps"]
            if step.get("result", {}).get("status") in ("failed", "error", "undefined")
        )
        for feature in json.loads(report or "[]")
        for element in feature.get("elements", [])
    }


def main(arguments: list[str]) -> int:
    """Run behave, print the outcome, and return the exit code.

    Args:
        arguments: Arguments of behave; all features run if there are none, and only then it is
            checked that the scenarios caused every event.
    """
    report = ROOT / ".run" / "behave.json"
    report.parent.mkdir(exist_ok=True)
    report.unlink(missing_ok=True)
    options = ["--no-color", "--format", "json", "--outfile", str(report)]
    options += ["--format", "progress", "--outfile", "/dev/stdout"]
    exit_code = behave_main.main([*options, *(arguments or [str(ROOT / "tests" / "features")])])
    text = report.read_text() if report.exists() else ""
    results = scenario_statuses(text)
    reason_of = failure_reasons(text)
    known = known_failures()
    counts = collections.Counter(results.values())
    failed = {name for name, status in results.items() if status not in ("passed", "skipped")}
    unexpected = failed - known
    fixed = {name for name in known if results.get(name) == "passed"}
    for name in sorted(unexpected):
        print(f"FAILED: {name}\n{reason_of[name][-MAX_REASON_CHARACTERS:]}")
    for name in sorted(failed & known):
        print(f"known red: {name}")
    for name in sorted(fixed):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    failure_count = len(unexpected) + len(fixed)
    uncovered_events = [] if arguments else event_coverage.uncaused_events(report.parent)
    for name in uncovered_events:
        print(f"FAILED: no scenario causes the event {name}")
    failure_count += len(uncovered_events)
    if exit_code and not failed:
        print("behave failed outside of a scenario")
        failure_count += 1
    print(f"{counts['passed'] - len(fixed)} passed, {failure_count} failed")
    return 1 if failure_count or not results else 0


if __name__ == "__main__":
    sys.stdout = io.TextIOWrapper(sys.stdout.buffer, line_buffering=True)
    sys.exit(main(sys.argv[1:]))
