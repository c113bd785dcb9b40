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
    DocumentResponse,
    HistoryResponse,
    StatusResponse,
    SubmitBody,
    SubmitResponse,
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
    help='Revision the file was edited from; default: the active one.',
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
    '--wait', is_flag=True, help='Wait until it is active on all hosts.'
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
    :param wait: whether to wait until the document is active.
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
    response = context.client.post(resource, body, SubmitResponse)
    match response:
        case Unreachable(cause=cause) if cause != Cause.REFUSED:
            # The host may have submitted the document before the call failed.
            response = SubmitResponse('undecided', detail=response.detail)
        case Invalid() | Unreachable():
            fail(response)
    _report(context, response, body)
    if wait:
        _wait_until_active(context, parsed.service, response.revision, wait_s)


@document.command()
@click.argument('service')
@click.pass_obj
def show_document(context: Context, service: str) -> None:
    """Show the active document.

    \f
    :param context: client and output format.
    :param service: service name.
    """
    response = _fetch(context, service)
    show(context, response, [response.source])


@document.command(name='list')
@click.pass_obj
def list_documents(context: Context) -> None:
    """List the services and their active revisions.

    \f
    :param context: client and output format.
    """
    response = context.client.get('/v1/status', StatusResponse)
    if isinstance(response, Invalid | Unreachable):
        fail(response)
    revisions = response.host.revisions
    lines = [f'{name} {number}' for name, number in sorted(revisions.items())]
    show(context, revisions, lines)


@document.command()
@click.argument('path', type=click.Path(exists=True, path_type=Path))
@click.pass_obj
def diff(context: Context, path: Path) -> None:
    """Compare a file with the active document.

    \f
    :param context: client and output format.
    :param path: YAML file with the document.
    """
    parsed = _read(path)
    response = _fetch(context, parsed.service)
    lines = list(
        difflib.unified_diff(
            response.source.splitlines(),
            path.read_text().splitlines(),
            f'revision {response.revision}',
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
    response = context.client.get(
        f'/v1/documents/{service}/history', HistoryResponse
    )
    if isinstance(response, Invalid | Unreachable):
        fail(response)
    lines = [
        f'{entry.revision} {entry.at_s} {entry.author} {entry.nonce}'
        for entry in response.revisions
    ]
    show(context, response, lines)


document.add_command(show_document, 'show')


def _read(path: Path) -> ServiceDocument:
    parsed = parse_document(path.read_bytes())
    if isinstance(parsed, Invalid):
        fail(parsed)
    return parsed


def _fetch(context: Context, service: str) -> DocumentResponse:
    response = context.client.get(f'/v1/documents/{service}', DocumentResponse)
    if isinstance(response, Invalid | Unreachable):
        fail(response)
    return response


def _find_revision(context: Context, service: str) -> int:
    response = context.client.get(f'/v1/documents/{service}', DocumentResponse)
    match response:
        case DocumentResponse(revision=revision):
            return revision
        case Unreachable():
            fail(response)
    return 0


def _report(
    context: Context, response: SubmitResponse, body: SubmitBody
) -> None:
    match response.verdict:
        case 'accepted':
            note = ', already superseded' if response.superseded else ''
            text = f'accepted as revision {response.revision}{note}'
            show(context, response, [text])
        case 'outdated':
            text = (
                f'not accepted: {response.author or "another author"} '
                f'submitted revision {response.revision}; this submission '
                f'has base revision {body.base_revision}; '
                'compare with "document diff"'
            )
            show(context, response, [text])
            sys.exit(REFUSED_EXIT)
        case _:
            text = (
                f'outcome unknown: {response.detail}; '
                f'check again with --nonce {body.nonce}'
            )
            show(context, response, [text])
            sys.exit(UNDECIDED_EXIT)


def _wait_until_active(
    context: Context, service: str, revision: int, wait_s: float
) -> None:
    started_at = time.monotonic()
    while True:
        active, total = _count_active(context, service, revision)
        elapsed_s = time.monotonic() - started_at
        click.echo(
            f'active on {active} of {total} hosts after {elapsed_s:.1f} s',
            err=True,
        )
        if total and active == total:
            return
        if elapsed_s > wait_s:
            sys.exit(REFUSED_EXIT)
        time.sleep(_POLL_S)


def _count_active(
    context: Context, service: str, revision: int
) -> tuple[int, int]:
    status = context.client.get('/v1/status', StatusResponse)
    if isinstance(status, Invalid | Unreachable):
        return 0, 0
    addresses = [
        member.caller_address
        for member in status.members
        if member.status in {'alive', 'suspect'} and member.caller_address
    ]
    active = 0
    for address in addresses:
        response = context.client.get_from(
            address, '/v1/status', StatusResponse
        )
        if isinstance(response, StatusResponse):
            held = response.host.revisions.get(service, 0)
            active += held >= revision
    return active, len(addresses)
