"""Commands for operators: apply, get, delete, watch, release and order."""

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
from yuccahitch.tasks import single_send

# Exit code when an instance refuses a request.
EXIT_FAILURE = 1


class OperatorEndpoint(records.Record):
    """Operator interface of the instance that receives the commands.

    Attributes:
        url: Base URL of the operator interface, without a final slash.
        headers: HTTP headers of every request, with the operator token.
    """

    __slots__ = ("url", "headers")

    def __init__(self, url: str, token: str) -> None:
        self.url = url.rstrip("/")
        self.headers = {"Authorization": f"Bearer {token}"}


def _endpoint_options(command: typing.Callable[..., None]) -> typing.Callable[..., None]:
    """Add the options that select the instance and the operator token to a command."""
    command = click.option(
        "--token-file",
        envvar="YUCCAHITCH_TOKEN_FILE",
        type=click.Path(path_type=pathlib.Path),
        help="File with the operator token; default is the variable YUCCAHITCH_TOKEN.",
    )(command)
    return click.option(
        "--url",
        envvar="YUCCAHITCH_URL",
        default="http://127.0.0.1:7002",
        show_default=True,
        help="Base URL of the operator interface of an instance.",
    )(command)


def _operator_endpoint(url: str, token_file: pathlib.Path | None) -> OperatorEndpoint:
    """Return the endpoint that the options of a command select."""
    token = token_file.read_text() if token_file else os.environ.get("YUCCAHITCH_TOKEN", "")
    return OperatorEndpoint(url, token.strip())


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path))
@click.option("--dry-run", is_flag=True, help="Check the resources without writing them.")
@_endpoint_options
def apply(
    files: tuple[pathlib.Path, ...], dry_run: bool, url: str, token_file: pathlib.Path | None
) -> None:
    """Write the resources in FILES, each a JSON list of {"kind", "spec", "version"?}."""
    resources = [resource for file in files for resource in json.loads(file.read_text())]
    asyncio.run(_write_resources(_operator_endpoint(url, token_file), resources, dry_run=dry_run))


@click.command()
@click.argument("kind", default="")
@click.argument("name", default="")
@_endpoint_options
def get(kind: str, name: str, url: str, token_file: pathlib.Path | None) -> None:
    """Print the resource NAME of KIND, or all of KIND without NAME, or all resources."""
    path = "/".join(segment for segment in ("/v1/resources", kind, name) if segment)
    asyncio.run(_print_response(_operator_endpoint(url, token_file), "GET", path))


@click.command()
@click.argument("kind")
@click.argument("name")
@click.option("--version", type=int, help="Delete only if this is the current version.")
@_endpoint_options
def delete(
    kind: str, name: str, version: int | None, url: str, token_file: pathlib.Path | None
) -> None:
    """Delete the resource NAME of KIND."""
    query = f"?version={version}" if version is not None else ""
    path = f"/v1/resources/{kind}/{name}{query}"
    asyncio.run(_print_response(_operator_endpoint(url, token_file), "DELETE", path))


@click.command()
@click.option("--count", type=int, default=0, help="Stop after this many lines; 0 means no limit.")
@_endpoint_options
def watch(count: int, url: str, token_file: pathlib.Path | None) -> None:
    """Print every resource, and then every change as it happens, one JSON object a line."""
    asyncio.run(_print_changes(_operator_endpoint(url, token_file), count))


@click.command()
@click.argument("instance")
@_endpoint_options
def release(instance: str, url: str, token_file: pathlib.Path | None) -> None:
    """Confirm that INSTANCE (a full instance id) is dead, which frees its rate slices at once."""
    path = f"/v1/instances/{instance}/release"
    asyncio.run(_print_response(_operator_endpoint(url, token_file), "POST", path))


@click.command()
@click.argument("upstream")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
@_endpoint_options
def order(upstream: str, file: pathlib.Path, url: str, token_file: pathlib.Path | None) -> None:
    """Send UPSTREAM the order in FILE, a JSON object, for example to load a model."""
    path = f"/v1/orders/{upstream}"
    body = json.loads(file.read_text())
    asyncio.run(_print_response(_operator_endpoint(url, token_file), "POST", path, body=body))


COMMANDS = (apply, get, delete, watch, release, order)


async def _write_resources(
    endpoint: OperatorEndpoint, resources: list[dict[str, typing.Any]], *, dry_run: bool
) -> None:
    """Write or check resources one after another and print the result of each.

    Exits with ``EXIT_FAILURE`` when the instance refused any of them.
    """
    failed = False
    async with _write_session(endpoint) as session:
        for resource in resources:
            resource_path = f"{resource['kind']}/{resource['spec']['name']}"
            query = "?dry_run=1" if dry_run else ""
            body = {"spec": resource["spec"], "version": resource.get("version")}
            url = f"{endpoint.url}/v1/resources/{resource_path}{query}"
            async with session.put(url, json=body, allow_redirects=False) as response:
                response_data = await response.json()
            if response.status == 200:
                click.echo(f"{resource_path} version {response_data.get('version', 'checked')}")
            else:
                failed = True
                click.echo(f"{resource_path}: {_format_error(response_data)}", err=True)
    if failed:
        sys.exit(EXIT_FAILURE)


def _write_session(endpoint: OperatorEndpoint) -> aiohttp.ClientSession:
    """Return an HTTP session that sends each request at most once."""
    return aiohttp.ClientSession(headers=endpoint.headers, middlewares=(single_send.send_once,))


async def _print_response(
    endpoint: OperatorEndpoint, method: str, path: str, *, body: typing.Any = None
) -> None:
    """Send a request and print the JSON response; exit with ``EXIT_FAILURE`` if it is an error."""
    async with _write_session(endpoint) as session:
        async with session.request(
            method, endpoint.url + path, json=body, allow_redirects=False
        ) as response:
            response_data = await response.json()
    if response.status != 200:
        click.echo(_format_error(response_data), err=True)
        sys.exit(EXIT_FAILURE)
    click.echo(json.dumps(response_data, indent=2))


async def _print_changes(endpoint: OperatorEndpoint, count: int) -> None:
    """Print the lines of the watch stream, at most ``count`` of them unless it is 0."""
    timeout = aiohttp.ClientTimeout(total=None)
    async with aiohttp.ClientSession(headers=endpoint.headers, timeout=timeout) as session:
        async with session.get(f"{endpoint.url}/v1/watch") as response:
            if response.status != 200:
                click.echo(_format_error(await response.json()), err=True)
                sys.exit(EXIT_FAILURE)
            line_count = 0
            async for line in response.content:
                click.echo(line.decode().rstrip())
                line_count += 1
                if line_count == count:
                    return


def _format_error(response_data: dict[str, typing.Any]) -> str:
    """Return the code and message of an error response."""
    error = response_data.get("error", {})
    return f"{error.get('code', 'failed')}: {error.get('message', '')}"
