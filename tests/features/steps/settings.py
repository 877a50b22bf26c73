"""Steps for the check of settings files."""

from __future__ import annotations

import configparser
import pathlib
import tempfile

import behave
from click import testing

from tests import builders
from yuccahitch import cli


def write_settings_file(context, raw_sections):
    """Write sections of settings to a temporary file, ``context.path``."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(raw_sections)
    context.folder = tempfile.TemporaryDirectory()
    context.path = pathlib.Path(context.folder.name) / "instance.ini"
    with context.path.open("w") as file:
        parser.write(file)


@behave.given("settings whose {section} has {option} set to {value}")
def step_write_invalid_option(context, section, option, value):
    write_settings_file(context, builders.raw_settings(**{section: {option: value}}))


@behave.given(
    "settings with a missing name, a wrong port, an unknown option and an unknown section"
)
def step_write_several_mistakes(context):
    raw_sections = builders.raw_settings(
        instance={"peer_port": "-1"}, policy={"windov": "2"}, nowhere={"a": "b"}
    )
    del raw_sections["instance"]["name"]
    write_settings_file(context, raw_sections)


@behave.given("good settings")
def step_write_valid_settings(context):
    write_settings_file(context, builders.raw_settings())


@behave.when("they are checked")
def step_run_check_command(context):
    context.result = testing.CliRunner().invoke(cli.main, ["check", str(context.path)])
    context.folder.cleanup()


@behave.then("the exit code is {code:d}")
def step_exit_code_of_check(context, code):
    assert context.result.exit_code == code, context.result.output


@behave.then('the report names {section}, {option}, {value} and "{expected}"')
def step_mistake_reported(context, section, option, value, expected):
    lines = context.result.output.splitlines()
    expected_parts = (f"[{section}]", f"{option} = '{value}'", expected)
    assert any(all(part in line for part in expected_parts) for line in lines), lines


@behave.then("the report has {count:d} lines")
def step_report_line_count(context, count):
    assert len(context.result.output.splitlines()) == count, context.result.output


@behave.then("the secret is not shown")
def step_secret_not_shown(context):
    assert builders.SECRET not in context.result.output
