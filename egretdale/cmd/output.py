"""Output formatting and exit codes of the command line."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import Any, NoReturn

import click
import msgspec

from egretdale.errors import Invalid, Unreachable
from egretdale.transport.client import OperatorClient

REFUSED_EXIT = 1
INVALID_EXIT = 2
UNREACHABLE_EXIT = 3
UNDECIDED_EXIT = 4


@dataclass(slots=True, frozen=True)
class Context:
    """State shared by all commands.

    :ivar client: client of the entry hosts.
    :ivar as_json: whether to print JSON instead of text.
    """

    client: OperatorClient
    as_json: bool


def show(context: Context, response: Any, lines: list[str]) -> None:
    """Print a response.

    :param context: output format.
    :param response: response, printed if the output format is JSON.
    :param lines: text lines, printed otherwise.
    """
    if context.as_json:
        click.echo(msgspec.json.encode(response).decode())
        return
    for line in lines:
        click.echo(line)


def fail(problem: Invalid | Unreachable) -> NoReturn:
    """Print an error and exit.

    :param problem: the error.
    """
    match problem:
        case Invalid(path=path, message=message):
            click.echo(f'{path}: {message}', err=True)
            sys.exit(INVALID_EXIT)
        case Unreachable(cause=cause, detail=detail):
            click.echo(f'no entry host answered: {cause} {detail}', err=True)
            sys.exit(UNREACHABLE_EXIT)
