"""Commands for operators: apply, get, delete, watch, release."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import sys
import typing

import aiohttp
import click

from yuccahitch import records

FAILED = 1


class Target(records.Record):
    """The instance that an operator talks to."""

    __slots__ = ("url", "headers")

    def __init__(self, url: str, token: str) -> None:
        self.url = url.rstrip("/")
        self.headers = {"Authorization": f"Bearer {token}"}


def _target_options(command: typing.Callable[..., None]) -> typing.Callable[..., None]:
    command = click.option(
        "--token-file",
        envvar="YUCCAHITCH_TOKEN_FILE",
        type=click.Path(path_type=pathlib.Path),
        help="File with the operator token; else the variable YUCCAHITCH_TOKEN.",
    )(command)
    return click.option(
        "--url",
        envvar="YUCCAHITCH_URL",
        default="http://127.0.0.1:7002",
        show_default=True,
        help="Operator address of an instance.",
    )(command)


def _target(url: str, token_file: pathlib.Path | None) -> Target:
    token = token_file.read_text() if token_file else os.environ.get("YUCCAHITCH_TOKEN", "")
    return Target(url, token.strip())


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path))
@click.option("--dry-run", is_flag=True, help="Check only; change nothing.")
@_target_options
def apply(
    files: tuple[pathlib.Path, ...], dry_run: bool, url: str, token_file: pathlib.Path | None
) -> None:
    """Write the resources in FILES, each a JSON list of {"kind", "spec", "version"?}."""
    items = [item for file in files for item in json.loads(file.read_text())]
    asyncio.run(_apply(_target(url, token_file), items, dry_run=dry_run))


@click.command()
@click.argument("kind", default="")
@click.argument("name", default="")
@_target_options
def get(kind: str, name: str, url: str, token_file: pathlib.Path | None) -> None:
    """Print the resources of KIND, or one of them, or all."""
    path = "/".join(part for part in ("/v1/resources", kind, name) if part)
    asyncio.run(_print(_target(url, token_file), "GET", path))


@click.command()
@click.argument("kind")
@click.argument("name")
@click.option("--version", type=int, help="Delete only this version.")
@_target_options
def delete(
    kind: str, name: str, version: int | None, url: str, token_file: pathlib.Path | None
) -> None:
    """Delete the resource NAME of KIND."""
    query = f"?version={version}" if version is not None else ""
    path = f"/v1/resources/{kind}/{name}{query}"
    asyncio.run(_print(_target(url, token_file), "DELETE", path))


@click.command()
@click.option("--count", type=int, default=0, help="End after so many lines; 0 means never.")
@_target_options
def watch(count: int, url: str, token_file: pathlib.Path | None) -> None:
    """Print every resource and then each change as a line of JSON."""
    asyncio.run(_watch(_target(url, token_file), count))


@click.command()
@click.argument("instance")
@_target_options
def release(instance: str, url: str, token_file: pathlib.Path | None) -> None:
    """State that INSTANCE (its full id) is dead, so that its slices are free at once."""
    path = f"/v1/instances/{instance}/release"
    asyncio.run(_print(_target(url, token_file), "POST", path))


@click.command()
@click.argument("upstream")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
@_target_options
def order(upstream: str, file: pathlib.Path, url: str, token_file: pathlib.Path | None) -> None:
    """Give UPSTREAM the order in FILE, a JSON object, such as loading a model."""
    path = f"/v1/orders/{upstream}"
    body = json.loads(file.read_text())
    asyncio.run(_print(_target(url, token_file), "POST", path, body=body))


COMMANDS = (apply, get, delete, watch, release, order)


async def _apply(target: Target, items: list[dict[str, typing.Any]], *, dry_run: bool) -> None:
    failed = False
    async with aiohttp.ClientSession(headers=target.headers) as session:
        for item in items:
            place = f"{item['kind']}/{item['spec']['name']}"
            query = "?dry_run=1" if dry_run else ""
            body = {"spec": item["spec"], "version": item.get("version")}
            url = f"{target.url}/v1/resources/{place}{query}"
            async with session.put(url, json=body) as response:
                answer = await response.json()
            if response.status == 200:
                click.echo(f"{place} version {answer.get('version', 'checked')}")
            else:
                failed = True
                click.echo(f"{place}: {_reason(answer)}", err=True)
    if failed:
        sys.exit(FAILED)


async def _print(target: Target, method: str, path: str, *, body: typing.Any = None) -> None:
    async with aiohttp.ClientSession(headers=target.headers) as session:
        async with session.request(method, target.url + path, json=body) as response:
            answer = await response.json()
    if response.status != 200:
        click.echo(_reason(answer), err=True)
        sys.exit(FAILED)
    click.echo(json.dumps(answer, indent=2))


async def _watch(target: Target, count: int) -> None:
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(headers=target.headers, timeout=timeout) as session:
        async with session.get(f"{target.url}/v1/watch") as response:
            if response.status != 200:
                click.echo(_reason(await response.json()), err=True)
                sys.exit(FAILED)
            number = 0
            async for line in response.content:
                click.echo(line.decode().rstrip())
                number += 1
                if number == count:
                    return


def _reason(answer: dict[str, typing.Any]) -> str:
    error = answer.get("error", {})
    return f"{error.get('code', 'failed')}: {error.get('message', '')}"
