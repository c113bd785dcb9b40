"""Commands that manage service documents."""

from __future__ import annotations

import difflib
import getpass
import sys
import time
import uuid
from pathlib import Path

import click

from egretdale.cmd.output import (
    REFUSED_EXIT,
    UNDECIDED_EXIT,
    Context,
    fail,
    show,
)
from egretdale.errors import Cause, Invalid, Unreachable
from egretdale.protocol.operators import (
    DocumentAnswer,
    HistoryAnswer,
    StatusAnswer,
    SubmitAnswer,
    SubmitBody,
)
from egretdale.state.documents import ServiceDocument, parse_document

_POLL_S = 0.1
_WAIT_S = 10.0


@click.group()
def document() -> None:
    """Manage service documents."""


@document.command()
@click.argument('path', type=click.Path(exists=True, path_type=Path))
@click.option(
    '--base-revision',
    type=int,
    help='Revision the file was edited from; default: the one in force.',
)
@click.option(
    '--author',
    default=None,
    help='Author of the submission; default: the current user.',
)
@click.option(
    '--nonce',
    default=None,
    help='Check an earlier submission with this nonce instead of submitting.',
)
@click.option(
    '--wait', is_flag=True, help='Wait until it is in force everywhere.'
)
@click.option('--wait-s', default=_WAIT_S, help='Timeout of --wait in seconds.')
@click.pass_obj
def submit(
    context: Context,
    path: Path,
    base_revision: int | None,
    author: str | None,
    nonce: str | None,
    *,
    wait: bool,
    wait_s: float,
) -> None:
    """Submit a document unless its base revision is outdated.

    \f
    :param context: client and output format.
    :param path: YAML file with the document.
    :param base_revision: revision that the file was edited from.
    :param author: author of the submission.
    :param nonce: nonce of an earlier submission whose outcome is unknown.
    :param wait: whether to wait until the document is in force.
    :param wait_s: timeout in seconds.
    """
    parsed = _read(path)
    if base_revision is None:
        base_revision = _find_revision(context, parsed.service)
    body = SubmitBody(
        path.read_text(),
        base_revision,
        nonce or uuid.uuid4().hex,
        author or getpass.getuser(),
    )
    resource = f'/v1/documents/{parsed.service}'
    if nonce:
        resource = f'{resource}/settle'
    answer = context.client.post(resource, body, SubmitAnswer)
    match answer:
        case Unreachable(cause=cause) if cause != Cause.REFUSED:
            # The host may have submitted the document before the call failed.
            answer = SubmitAnswer('undecided', detail=answer.detail)
        case Invalid() | Unreachable():
            fail(answer)
    _report(context, answer, body)
    if wait:
        _wait_in_force(context, parsed.service, answer.revision, wait_s)


@document.command()
@click.argument('service')
@click.pass_obj
def show_document(context: Context, service: str) -> None:
    """Show the document in force.

    \f
    :param context: client and output format.
    :param service: service name.
    """
    answer = _fetch(context, service)
    show(context, answer, [answer.source])


@document.command(name='list')
@click.pass_obj
def list_documents(context: Context) -> None:
    """List the services and the revisions in force.

    \f
    :param context: client and output format.
    """
    answer = context.client.get('/v1/status', StatusAnswer)
    if isinstance(answer, Invalid | Unreachable):
        fail(answer)
    revisions = answer.host.revisions
    lines = [f'{name} {number}' for name, number in sorted(revisions.items())]
    show(context, revisions, lines)


@document.command()
@click.argument('path', type=click.Path(exists=True, path_type=Path))
@click.pass_obj
def diff(context: Context, path: Path) -> None:
    """Compare a file with the document in force.

    \f
    :param context: client and output format.
    :param path: YAML file with the document.
    """
    parsed = _read(path)
    answer = _fetch(context, parsed.service)
    lines = list(
        difflib.unified_diff(
            answer.source.splitlines(),
            path.read_text().splitlines(),
            f'revision {answer.revision}',
            str(path),
            lineterm='',
        )
    )
    show(context, lines, lines)


@document.command()
@click.argument('service')
@click.pass_obj
def history(context: Context, service: str) -> None:
    """List the revisions of a document with their authors.

    \f
    :param context: client and output format.
    :param service: service name.
    """
    answer = context.client.get(
        f'/v1/documents/{service}/history', HistoryAnswer
    )
    if isinstance(answer, Invalid | Unreachable):
        fail(answer)
    lines = [
        f'{entry.revision} {entry.at_s} {entry.author} {entry.nonce}'
        for entry in answer.revisions
    ]
    show(context, answer, lines)


document.add_command(show_document, 'show')


def _read(path: Path) -> ServiceDocument:
    parsed = parse_document(path.read_bytes())
    if isinstance(parsed, Invalid):
        fail(parsed)
    return parsed


def _fetch(context: Context, service: str) -> DocumentAnswer:
    answer = context.client.get(f'/v1/documents/{service}', DocumentAnswer)
    if isinstance(answer, Invalid | Unreachable):
        fail(answer)
    return answer


def _find_revision(context: Context, service: str) -> int:
    answer = context.client.get(f'/v1/documents/{service}', DocumentAnswer)
    match answer:
        case DocumentAnswer(revision=revision):
            return revision
        case Unreachable():
            fail(answer)
    return 0


def _report(context: Context, answer: SubmitAnswer, body: SubmitBody) -> None:
    match answer.verdict:
        case 'accepted':
            note = ', already superseded' if answer.superseded else ''
            text = f'accepted as revision {answer.revision}{note}'
            show(context, answer, [text])
        case 'outdated':
            text = (
                f'not accepted: {answer.author or "another author"} submitted '
                f'revision {answer.revision}; this submission has base '
                f'revision {body.base_revision}; compare with "document diff"'
            )
            show(context, answer, [text])
            sys.exit(REFUSED_EXIT)
        case _:
            text = (
                f'outcome unknown: {answer.detail}; '
                f'check again with --nonce {body.nonce}'
            )
            show(context, answer, [text])
            sys.exit(UNDECIDED_EXIT)


def _wait_in_force(
    context: Context, service: str, revision: int, wait_s: float
) -> None:
    started_at = time.monotonic()
    while True:
        in_force, total = _count_in_force(context, service, revision)
        elapsed_s = time.monotonic() - started_at
        click.echo(
            f'in force on {in_force} of {total} hosts after {elapsed_s:.1f} s',
            err=True,
        )
        if total and in_force == total:
            return
        if elapsed_s > wait_s:
            sys.exit(REFUSED_EXIT)
        time.sleep(_POLL_S)


def _count_in_force(
    context: Context, service: str, revision: int
) -> tuple[int, int]:
    status = context.client.get('/v1/status', StatusAnswer)
    if isinstance(status, Invalid | Unreachable):
        return 0, 0
    addresses = [
        member.caller_address
        for member in status.members
        if member.status in {'alive', 'suspect'} and member.caller_address
    ]
    in_force = 0
    for address in addresses:
        answer = context.client.get_from(address, '/v1/status', StatusAnswer)
        if isinstance(answer, StatusAnswer):
            held = answer.host.revisions.get(service, 0)
            in_force += held >= revision
    return in_force, len(addresses)
