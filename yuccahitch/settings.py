"""Settings of one instance, read from an INI file and checked against a schema.

Every mistake is reported at once with its section, option, value and what was expected. Secrets
are never in the file: an option names the file or the environment variable that holds each.
"""

from __future__ import annotations

import configparser
import os
import pathlib
import typing

import cerberus

from yuccahitch import _settings_schema as schema
from yuccahitch import records


class Mistake(records.Record):
    """One thing that is wrong in a settings file."""

    __slots__ = ("section", "option", "value", "expected")

    def __init__(self, section: str, option: str, value: str, expected: str) -> None:
        self.section = section
        self.option = option
        self.value = value
        self.expected = expected

    def __str__(self) -> str:
        return f"[{self.section}] {self.option} = {self.value!r}: expected {self.expected}"


class SettingsError(Exception):
    """The settings have mistakes; all of them are listed."""

    def __init__(self, mistakes: list[Mistake]) -> None:
        super().__init__("; ".join(str(m) for m in mistakes))
        self.mistakes = mistakes


class Section(records.Record):
    """The checked options of one section, an attribute each."""

    __slots__ = ()

    def __init__(self, options: dict[str, typing.Any]) -> None:
        for name in self.__slots__:
            setattr(self, name, options[name])


class InstanceSection(Section):
    """Who and where this instance is."""

    __slots__ = schema.option_names("instance")


class PeersSection(Section):
    """How instances find and trust each other."""

    __slots__ = schema.option_names("peers")


class StoreSection(Section):
    """The platform's key-value service."""

    __slots__ = schema.option_names("store")


class PlatformSection(Section):
    """The platform's client directory and instance list."""

    __slots__ = schema.option_names("platform")


class OperatorsSection(Section):
    """How operators authenticate."""

    __slots__ = schema.option_names("operators")


class LogSection(Section):
    """Where events are written."""

    __slots__ = schema.option_names("log")


class CallersSection(Section):
    """Bounds on what callers send."""

    __slots__ = schema.option_names("callers")


class LimitsSection(Section):
    """Timing of rate slices and loans."""

    __slots__ = schema.option_names("limits")


class PolicySection(Section):
    """Routing, queues and retries."""

    __slots__ = schema.option_names("policy")


SECTIONS: dict[str, type[Section]] = {
    "instance": InstanceSection,
    "peers": PeersSection,
    "store": StoreSection,
    "platform": PlatformSection,
    "operators": OperatorsSection,
    "log": LogSection,
    "callers": CallersSection,
    "limits": LimitsSection,
    "policy": PolicySection,
}


class Settings(records.Record):
    """All sections of one instance's settings."""

    __slots__ = tuple(SECTIONS)

    def __init__(self, sections: dict[str, Section]) -> None:
        for name in SECTIONS:
            setattr(self, name, sections[name])


def load(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    Args:
        path: The INI file.

    Returns:
        The checked settings, secrets resolved.

    Raises:
        SettingsError: With every mistake found.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        detail = type(error).__name__
        raise SettingsError(
            [Mistake("", "", str(path), f"a readable INI file ({detail})")]
        ) from error
    return check({name: dict(parser[name]) for name in parser.sections()})


def check(raw: dict[str, dict[str, str]]) -> Settings:
    """Check raw sections of text options and return typed settings."""
    mistakes = [
        Mistake(name, "", "", f"one of the sections {', '.join(SECTIONS)}")
        for name in raw
        if name not in SECTIONS
    ]
    sections = {}
    for name, kind in SECTIONS.items():
        options, found = _check_section(name, raw.get(name, {}))
        mistakes.extend(found)
        if not found:
            sections[name] = kind(options)
    if mistakes:
        raise SettingsError(mistakes)
    return Settings(sections)


def _check_section(name: str, raw: dict[str, str]) -> tuple[dict[str, typing.Any], list[Mistake]]:
    rules = schema.rules(name)
    validator = cerberus.Validator(rules)
    options = validator.normalized(raw, always_return_document=True) or {}
    validator.validate(raw)
    mistakes = [
        Mistake(name, option, raw.get(option, ""), schema.expectation(name, option))
        for option in validator.errors
    ]
    secrets = [o for o in schema.secret_names(name) if o not in validator.errors]
    for option in secrets:
        try:
            options[option] = _read_secret(options[option])
        except (OSError, KeyError, ValueError, UnicodeDecodeError):
            mistakes.append(Mistake(name, option, raw[option], schema.expectation(name, option)))
    return options, mistakes


def _read_secret(source: str) -> str:
    kind, _, place = source.partition(":")
    secret = os.environ[place] if kind == "env" else pathlib.Path(place).read_text("utf-8")
    secret = secret.strip()
    if len(secret) < schema.MIN_SECRET_CHARACTERS:
        raise ValueError("the secret is too short")
    return secret
