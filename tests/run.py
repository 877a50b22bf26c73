"""Runs all features and ends with a line ``N passed, N failed``.

Scenarios listed in KNOWN-RED.txt still run; they are counted apart, printed, and do not fail the
run. A listed scenario that passes fails the run, so that the list stays true.
"""

from __future__ import annotations

import collections
import io
import json
import pathlib
import sys

from behave import __main__ as behave_main

from tests import witness

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_REASON_CHARACTERS = 1500
TEST_PREFIX = "test: "


def known_red() -> set[str]:
    """Return the names of the scenarios that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix(TEST_PREFIX) for line in lines if line.startswith(TEST_PREFIX)}


def outcomes(report: str) -> dict[str, str]:
    """Return the status of each scenario of a JSON report."""
    found = {}
    for feature in json.loads(report or "[]"):
        for element in feature.get("elements", []):
            if element["type"] == "scenario":
                found[f"{feature['name']} / {element['name']}"] = element["status"]
    return found


def reasons(report: str) -> dict[str, str]:
    """Return why each failed scenario failed."""
    return {
        f"{feature['name']} / {element['name']}": "\n".join(
            f"{step['name']}: {''.join(step['result'].get('error_message', []))}"
            for step in element["steps"]
            if step.get("result", {}).get("status") in ("failed", "error", "undefined")
        )
        for feature in json.loads(report or "[]")
        for element in feature.get("elements", [])
    }


def main(arguments: list[str]) -> int:
    """Run behave and report."""
    report = ROOT / ".run" / "behave.json"
    report.parent.mkdir(exist_ok=True)
    report.unlink(missing_ok=True)
    options = ["--no-color", "--format", "json", "--outfile", str(report)]
    options += ["--format", "progress", "--outfile", "/dev/stdout"]
    code = behave_main.main([*options, *(arguments or [str(ROOT / "tests" / "features")])])
    text = report.read_text() if report.exists() else ""
    results = outcomes(text)
    why = reasons(text)
    red = known_red()
    counts = collections.Counter(results.values())
    failed = {name for name, status in results.items() if status not in ("passed", "skipped")}
    unexpected = failed - red
    healed = {name for name in red if results.get(name) == "passed"}
    for name in sorted(unexpected):
        print(f"FAILED: {name}\n{why[name][-MAX_REASON_CHARACTERS:]}")
    for name in sorted(failed & red):
        print(f"known red: {name}")
    for name in sorted(healed):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    bad = len(unexpected) + len(healed)
    uncaused = [] if arguments else witness.missing(report.parent)
    for name in uncaused:
        print(f"FAILED: no scenario causes the event {name}")
    bad += len(uncaused)
    if code and not failed:
        print("behave failed outside of a scenario")
        bad += 1
    print(f"{counts['passed'] - len(healed)} passed, {bad} failed")
    return 1 if bad or not results else 0


if __name__ == "__main__":
    sys.stdout = io.TextIOWrapper(sys.stdout.buffer, line_buffering=True)
    sys.exit(main(sys.argv[1:]))
