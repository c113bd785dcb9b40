"""Output and exit codes of the command line."""

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
    """What every command needs.

    :ivar client: client of the entry hosts.
    :ivar as_json: whether output is JSON.
    """

    client: OperatorClient
    as_json: bool


def show(context: Context, answer: Any, lines: list[str]) -> None:
    """Print an answer.

    :param context: form of the output.
    :param answer: the answer, printed as JSON.
    :param lines: the answer as text.
    """
    if context.as_json:
        click.echo(msgspec.json.encode(answer).decode())
        return
    for line in lines:
        click.echo(line)


def fail(problem: Invalid | Unreachable) -> NoReturn:
    """Print a problem and end the program.

    :param problem: what is wrong.
    """
    match problem:
        case Invalid(path=path, message=message):
            click.echo(f'{path}: {message}', err=True)
            sys.exit(INVALID_EXIT)
        case Unreachable(cause=cause, detail=detail):
            click.echo(f'no entry host answered: {cause} {detail}', err=True)
            sys.exit(UNREACHABLE_EXIT)
