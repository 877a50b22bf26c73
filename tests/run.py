"""Runs all features and ends with a line ``N passed, N failed``.

The features run in several parts at the same time, each a process of its own. Parts share no
address: those of the platform's site, which runs twice, those of the example deployments, and all
others, which listen on free ports or run in virtual time. Features tagged @alone run after them, by
themselves.

Scenarios listed in KNOWN-RED.txt run too; their failures are printed and do not fail the run.
A listed scenario that passes fails the run, so that the list stays up to date. Scenarios listed as
unsteady may fail or pass.
"""

from __future__ import annotations

import asyncio
import collections
import io
import itertools
import json
import os
import pathlib
import sys

from behave import __main__ as behave_main

from standins import platform_site
from tests import event_coverage

ROOT = pathlib.Path(__file__).parent.parent
FEATURES = ROOT / "tests" / "features"
RUN_DIR = ROOT / ".run"
# Runs a part of the features: a folder and the features follow.
PART_OPTION = "--part"
REPORT_FILE = "behave.json"
OUTPUT_FILE = "output.txt"
ALONE_PART = "alone"
# Name of each part, and the tags of its features; features without any of them are another part.
PART_TAGS = {
    ALONE_PART: ("@alone",),
    "streams": ("@second_site",),
    "platform": ("@platform_site",),
    "examples": ("@deployment", "@own_site", "@moved_example"),
}
# Features of these parts take turns.
OTHER_PARTS = ("others-1", "others-2")
# Network of the platform's site that a part runs, where it isn't the usual one.
SITE_NETWORKS = {"streams": "127.31"}
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
MAX_REASON_CHARACTERS = 1500
SCENARIO_PREFIX = "test: "
UNSTEADY_PREFIX = "unsteady: "


def listed_scenarios(prefix: str) -> set[str]:
    """Return the names of the scenarios that lines of KNOWN-RED.txt with a prefix list."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return {line.removeprefix(prefix) for line in lines if line.startswith(prefix)}


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


def feature_parts() -> dict[str, list[str]]:
    """Return the paths of the features of each part."""
    parts = collections.defaultdict(list)
    other_parts = itertools.cycle(OTHER_PARTS)
    for path in sorted(FEATURES.glob("*.feature")):
        feature_tags = path.read_text().splitlines()[0].split()
        tagged_parts = (
            part for part, tags in PART_TAGS.items() if not set(tags).isdisjoint(feature_tags)
        )
        name = next(tagged_parts, None) or next(other_parts)
        parts[name].append(str(path))
    return parts


def run_features(run_dir: pathlib.Path, features: list[str]) -> int:
    """Run features in this process, and return the exit code of behave.

    Args:
        run_dir: Folder for the report, and for the settings and logs of the processes.
        features: Paths of the features, or other arguments of behave.
    """
    run_dir.mkdir(parents=True, exist_ok=True)
    report = run_dir / REPORT_FILE
    report.unlink(missing_ok=True)
    os.environ[event_coverage.RUN_DIR_VARIABLE] = str(run_dir)
    options = ["--no-color", "--format", "json", "--outfile", str(report)]
    options += ["--format", "progress", "--outfile", "/dev/stdout"]
    return behave_main.main([*options, *features])


async def run_part(name: str, features: list[str]) -> int:
    """Run a part of the features in a process of its own, and return its exit code."""
    run_dir = RUN_DIR / name
    run_dir.mkdir(parents=True, exist_ok=True)
    environment = dict(os.environ)
    if name in SITE_NETWORKS:
        environment[platform_site.NETWORK_VARIABLE] = SITE_NETWORKS[name]
    with (run_dir / OUTPUT_FILE).open("wb") as output:
        arguments = ("-m", "tests.run", PART_OPTION, str(run_dir), *features)
        part = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stdout=output, stderr=output, cwd=ROOT, env=environment
        )
        exit_code = await part.wait()
    print((run_dir / OUTPUT_FILE).read_text(errors="replace"))
    return exit_code


async def run_parts(parts: dict[str, list[str]]) -> list[int]:
    """Run all parts at the same time, then those that run alone, and return their exit codes."""
    together = [name for name in parts if name != ALONE_PART]
    runs = [run_part(name, parts[name]) for name in together]
    exit_codes = await asyncio.gather(*runs)
    if ALONE_PART in parts:
        exit_codes.append(await run_part(ALONE_PART, parts[ALONE_PART]))
    return exit_codes


def report_results(run_dirs: list[pathlib.Path], exit_codes: list[int], *, is_whole: bool) -> int:
    """Print the outcome of a run, and return its exit code.

    Args:
        run_dirs: Folders with the reports.
        exit_codes: Exit codes of behave.
        is_whole: Whether all features ran; only then it is checked that they caused every event.
    """
    reports = [path / REPORT_FILE for path in run_dirs]
    texts = [path.read_text() if path.exists() else "" for path in reports]
    results, reason_of = {}, {}
    for text in texts:
        results |= scenario_statuses(text)
        reason_of |= failure_reasons(text)
    known = listed_scenarios(SCENARIO_PREFIX)
    unsteady = listed_scenarios(UNSTEADY_PREFIX)
    counts = collections.Counter(results.values())
    failed = {name for name, status in results.items() if status not in ("passed", "skipped")}
    unexpected = failed - known - unsteady
    fixed = {name for name in known if results.get(name) == "passed"}
    for name in sorted(unexpected):
        print(f"FAILED: {name}\n{reason_of[name][-MAX_REASON_CHARACTERS:]}")
    for name in sorted(failed & (known | unsteady)):
        print(f"known red: {name}\n{reason_of[name][-MAX_REASON_CHARACTERS:]}")
    for name in sorted(fixed):
        print(f"listed in KNOWN-RED.txt but passes: {name}")
    failure_count = len(unexpected) + len(fixed)
    uncovered_events = event_coverage.uncaused_events(run_dirs) if is_whole else []
    for name in uncovered_events:
        print(f"FAILED: no scenario causes the event {name}")
    failure_count += len(uncovered_events)
    if not all(texts) or (any(exit_codes) and not failed):
        print("behave failed outside of a scenario")
        failure_count += 1
    print(f"{counts['passed'] - len(fixed)} passed, {failure_count} failed")
    return 1 if failure_count or not results else 0


def main(arguments: list[str]) -> int:
    """Run behave, print the outcome, and return the exit code.

    Args:
        arguments: Arguments of behave; all features run if there are none.
    """
    if arguments[:1] == [PART_OPTION]:
        return run_features(pathlib.Path(arguments[1]), arguments[2:])
    if arguments:
        exit_code = run_features(RUN_DIR, arguments)
        return report_results([RUN_DIR], [exit_code], is_whole=False)
    parts = feature_parts()
    exit_codes = asyncio.run(run_parts(parts))
    return report_results([RUN_DIR / name for name in parts], exit_codes, is_whole=True)


if __name__ == "__main__":
    sys.stdout = io.TextIOWrapper(sys.stdout.buffer, line_buffering=True)
    sys.exit(main(sys.argv[1:]))
