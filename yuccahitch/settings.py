"""Settings of one instance, read from an INI file and checked against a schema.

All mistakes are reported at once, each with its section, option, value and what was expected.
Secrets are never in the file: an option names the file or environment variable that holds each.
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
    """One mistake in a settings file.

    Attributes:
        section: Section of the mistake; empty when the file can't be read.
        option: Option of the mistake; empty when the whole section or file is meant.
        value: Value in the file, or the path of the file when it can't be read.
        expected: What is expected instead.
    """

    __slots__ = ("section", "option", "value", "expected")

    def __init__(self, section: str, option: str, value: str, expected: str) -> None:
        self.section = section
        self.option = option
        self.value = value
        self.expected = expected

    def __str__(self) -> str:
        return f"[{self.section}] {self.option} = {self.value!r}: expected {self.expected}"


class SettingsError(Exception):
    """The settings have mistakes.

    Attributes:
        mistakes: All mistakes that were found.
    """

    def __init__(self, mistakes: list[Mistake]) -> None:
        super().__init__("; ".join(str(mistake) for mistake in mistakes))
        self.mistakes = mistakes


class Section(records.Record):
    """The checked options of one section, each as an attribute."""

    __slots__ = ()

    def __init__(self, options: dict[str, typing.Any]) -> None:
        for name in self.__slots__:
            setattr(self, name, options[name])


class InstanceSection(Section):
    """Name, location and addresses of this instance."""

    __slots__ = schema.option_names("instance")


class PeersSection(Section):
    """Discovery and authentication of other instances, and heartbeats."""

    __slots__ = schema.option_names("peers")


class StoreSection(Section):
    """The platform's key-value service."""

    __slots__ = schema.option_names("store")


class PlatformSection(Section):
    """The platform's client directory and instance list."""

    __slots__ = schema.option_names("platform")


class OperatorsSection(Section):
    """Authentication of operators and limits on what they send."""

    __slots__ = schema.option_names("operators")


class LogSection(Section):
    """Destination of the log events."""

    __slots__ = schema.option_names("log")


class CallersSection(Section):
    """Limits and timing of the connections and requests of callers."""

    __slots__ = schema.option_names("callers")


class LimitsSection(Section):
    """Timing of rate slices and loans of tokens."""

    __slots__ = schema.option_names("limits")


class PolicySection(Section):
    """Placement, queues, retries and orders."""

    __slots__ = schema.option_names("policy")


SECTION_TYPES: dict[str, type[Section]] = {
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
    """The settings of an instance, each section as an attribute."""

    __slots__ = tuple(SECTION_TYPES)

    def __init__(self, sections: dict[str, Section]) -> None:
        for name in SECTION_TYPES:
            setattr(self, name, sections[name])


class EdgeInstanceSection(Section):
    """Name, location and addresses of an instance on the users' platform."""

    __slots__ = schema.option_names("instance", schema.EDGE_SCHEMA)


class EdgeStoreSection(Section):
    """The platform's store."""

    __slots__ = schema.option_names("store", schema.EDGE_SCHEMA)


class EdgeBoundsSection(Section):
    """Limits that the platform sets for retries, rates and shutdown."""

    __slots__ = schema.option_names("bounds", schema.EDGE_SCHEMA)


class EdgeCallersSection(Section):
    """Timing and buffers of answers to callers."""

    __slots__ = schema.option_names("callers", schema.EDGE_SCHEMA)


class EdgePolicySection(Section):
    """Links between regions and the choice of another region."""

    __slots__ = schema.option_names("policy", schema.EDGE_SCHEMA)


EDGE_SECTION_TYPES: dict[str, type[Section]] = {
    "instance": EdgeInstanceSection,
    "store": EdgeStoreSection,
    "bounds": EdgeBoundsSection,
    "callers": EdgeCallersSection,
    "policy": EdgePolicySection,
    "log": LogSection,
}


class EdgeSettings(records.Record):
    """The settings of an instance on the users' platform, each section as an attribute."""

    __slots__ = tuple(EDGE_SECTION_TYPES)

    def __init__(self, sections: dict[str, Section]) -> None:
        for name in EDGE_SECTION_TYPES:
            setattr(self, name, sections[name])


def load(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    Args:
        path: The INI file.

    Returns:
        The checked settings, with the secrets read.

    Raises:
        SettingsError: With every mistake found.
    """
    return check(_read_ini_file(path))


def load_edge(path: pathlib.Path) -> EdgeSettings:
    """Read and check the settings of an instance on the users' platform.

    Options with an empty value count as missing, because the platform fills in only those that it
    knows.

    Raises:
        SettingsError: With every mistake found.
    """
    raw = {
        name: {option: value for option, value in options.items() if value}
        for name, options in _read_ini_file(path).items()
    }
    return EdgeSettings(_check_sections(raw, EDGE_SECTION_TYPES, schema.EDGE_SCHEMA))


def check(raw: dict[str, dict[str, str]]) -> Settings:
    """Check the options of all sections and return the settings.

    Args:
        raw: Options as text, by section and name.

    Raises:
        SettingsError: With every mistake found.
    """
    return Settings(_check_sections(raw, SECTION_TYPES, schema.SCHEMA))


def _read_ini_file(path: pathlib.Path) -> dict[str, dict[str, str]]:
    """Return the options of an INI file as text, by section and name."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with path.open(encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        detail = type(error).__name__
        raise SettingsError(
            [Mistake("", "", str(path), f"a readable INI file ({detail})")]
        ) from error
    return {name: dict(parser[name]) for name in parser.sections()}


def _check_sections(
    raw: dict[str, dict[str, str]],
    section_types: dict[str, type[Section]],
    section_schemas: schema.Schema,
) -> dict[str, Section]:
    """Check all sections and return them by name.

    Args:
        raw: Options as text, by section and name.
        section_types: Class of each section.
        section_schemas: Schema of each section.

    Raises:
        SettingsError: With every mistake found.
    """
    mistakes = [
        Mistake(name, "", "", f"one of the sections {', '.join(section_types)}")
        for name in raw
        if name not in section_types
    ]
    sections = {}
    for name, section_type in section_types.items():
        options, section_mistakes = _check_section(name, raw.get(name, {}), section_schemas)
        mistakes.extend(section_mistakes)
        if not section_mistakes:
            sections[name] = section_type(options)
    if mistakes:
        raise SettingsError(mistakes)
    return sections


def _check_section(
    name: str, raw: dict[str, str], section_schemas: schema.Schema
) -> tuple[dict[str, typing.Any], list[Mistake]]:
    """Return the options of a section, typed and with secrets read, and its mistakes."""
    validator = cerberus.Validator(section_schemas[name])
    options = validator.normalized(raw, always_return_document=True) or {}
    validator.validate(raw)
    mistakes = [
        Mistake(
            name, option, raw.get(option, ""), schema.expected_text(name, option, section_schemas)
        )
        for option in validator.errors
    ]
    secrets = [o for o in schema.secret_options(name, section_schemas) if o not in validator.errors]
    for option in secrets:
        try:
            options[option] = _read_secret(options[option])
        except (OSError, KeyError, ValueError, UnicodeDecodeError):
            expected = schema.expected_text(name, option, section_schemas)
            mistakes.append(Mistake(name, option, raw[option], expected))
    return options, mistakes


def _read_secret(source: str) -> str:
    """Return the secret that ``file:PATH`` or ``env:NAME`` names."""
    source_kind, _, location = source.partition(":")
    secret = (
        os.environ[location] if source_kind == "env" else pathlib.Path(location).read_text("utf-8")
    )
    secret = secret.strip()
    if len(secret) < schema.MIN_SECRET_CHARACTERS:
        raise ValueError("the secret has too few characters")
    return secret
