"""The operators' command line."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TextIO

import click
import msgspec

from egretdale.cmd.documents import document
from egretdale.cmd.output import REFUSED_EXIT, Context, fail, show
from egretdale.config import parse_gateway_settings, parse_settings
from egretdale.errors import Invalid, Unreachable
from egretdale.protocol.hosts import HostsAnswer
from egretdale.protocol.operators import Explanation, StatusAnswer
from egretdale.state.identity import decode_refusal
from egretdale.state.timelines import build_timeline
from egretdale.transport.client import OperatorClient


@click.group()
@click.option(
    '--host',
    'hosts',
    multiple=True,
    envvar='EGRETDALE_HOSTS',
    metavar='ADDRESS:PORT',
    help='Entry host to talk to; give several to fall back on.',
)
@click.option(
    '--output',
    type=click.Choice(('text', 'json')),
    default='text',
    help='Form of the output.',
)
@click.version_option(package_name='egretdale')
@click.pass_context
def main(context: click.Context, hosts: tuple[str, ...], output: str) -> None:
    """Operate egretdale: documents, refusals, hosts and settings.

    Exit status: 0 done, 1 refused or outdated, 2 wrong input,
    3 no entry host answered, 4 outcome not known yet.

    \f
    :param context: context of the command line.
    :param hosts: entry hosts to talk to.
    :param output: form of the output.
    """
    context.obj = Context(OperatorClient(hosts), output == 'json')


@main.command()
@click.argument('request_id')
@click.option(
    '--logs',
    type=click.File('r', errors='replace'),
    default='-',
    help='File with log lines of any number of hosts; standard input if not.',
)
@click.pass_obj
def story(context: Context, request_id: str, logs: TextIO) -> None:
    """Tell what the logs say of a request, across hosts.

    Prints how it ended and why, what its hosts lacked at the time, and its
    log lines in order. Exit status 1 when the logs hold nothing of it.

    \f
    :param context: form of the output.
    :param request_id: identity of the request.
    :param logs: log lines.
    """
    told = build_timeline(logs, request_id)
    lines = [told.verdict]
    lines.extend(f'lacking: {loss.describe()}' for loss in told.circumstances)
    lines.extend(entry.describe() for entry in told.entries)
    show(context, told, lines)
    if not told.entries:
        sys.exit(REFUSED_EXIT)


@main.command()
@click.pass_obj
def status(context: Context) -> None:
    """Show an entry host and the others as it sees them.

    \f
    :param context: client and form of the output.
    """
    answer = context.client.get('/v1/status', StatusAnswer)
    if isinstance(answer, Invalid | Unreachable):
        fail(answer)
    lines = [
        f'{answer.host.host} incarnation {answer.host.incarnation}'
        f'{" leaving" if answer.host.leaving else ""}'
        f'{" ISOLATED" if answer.host.isolated else ""}',
    ]
    for service, revision in sorted(answer.host.revisions.items()):
        lines.append(f'  document {service} revision {revision}')
    for member in answer.members:
        lines.append(
            f'  {member.host:12} {member.status:8} {member.data_centre:10}'
            f' {member.caller_address:21} load {member.load}'
        )
    show(context, answer, lines)


@main.command()
@click.argument('refusal_id')
@click.pass_obj
def explain(context: Context, refusal_id: str) -> None:
    """Explain a refusal; its facts need no host to be alive.

    \f
    :param context: client and form of the output.
    :param refusal_id: identity from the refusal.
    """
    record = decode_refusal(refusal_id)
    if isinstance(record, Invalid):
        fail(record)
    explanation = Explanation(record)
    for address in _list_addresses(context):
        answer = context.client.get_from(
            address, f'/v1/explain/{refusal_id}', Explanation
        )
        if isinstance(answer, Explanation) and answer.detail:
            explanation = answer
            break
    lines = [
        f'request      {record.request_id}',
        f'refused by   {record.host} at {record.at_s} (Unix seconds)',
        f'service      {record.service}, document revision {record.revision}',
        f'class        {record.class_name}',
        f'organisation {record.organisation}',
        f'reason       {record.reason}',
        f'ran          {record.ran}',
    ]
    if record.retry_after_ms >= 0:
        lines.append(f'come back    after {record.retry_after_ms} ms')
    if explanation.detail:
        lines.append(f'detail       {explanation.detail}')
    show(context, explanation, lines)


def _list_addresses(context: Context) -> list[str]:
    """List the given hosts and those that they know of."""
    addresses = list(context.client.addresses)
    status = context.client.get('/v1/status', StatusAnswer)
    if isinstance(status, StatusAnswer):
        addresses += [
            member.caller_address
            for member in status.members
            if member.caller_address and member.status != 'gone'
        ]
    return list(dict.fromkeys(addresses))


@main.command()
@click.option('--organisation', default='', help='Organisation that calls.')
@click.option('--data-centre', default='', help='Data centre of the caller.')
@click.pass_obj
def hosts(context: Context, organisation: str, data_centre: str) -> None:
    """Show which entry hosts a caller would be sent to.

    \f
    :param context: client and form of the output.
    :param organisation: organisation that calls.
    :param data_centre: data centre of the caller.
    """
    query = f'organisation={organisation}&data_centre={data_centre}&keys=0'
    answer = context.client.get(f'/v1/hosts?{query}', HostsAnswer)
    if isinstance(answer, Invalid | Unreachable):
        fail(answer)
    lines = [f'keep for {answer.keep_s} s']
    for entry in answer.hosts:
        lines.append(f'{entry.host} {entry.address} {entry.data_centre}')
    show(context, answer, lines)


@main.command()
@click.pass_obj
def drain(context: Context) -> None:
    """Begin the planned stop of the first entry host given.

    \f
    :param context: client and form of the output.
    """
    answer = context.client.post('/v1/drain', {}, dict)
    if isinstance(answer, Invalid | Unreachable):
        fail(answer)
    show(context, answer, ['the planned stop has begun'])


@main.group()
def settings() -> None:
    """Work on settings of the daemon."""


@settings.command()
@click.option(
    '--form',
    type=click.Choice(('daemon', 'gateway')),
    default='daemon',
    help='Settings of a daemon or of a host that forwards by routes.',
)
@click.argument('path', type=click.Path(exists=True, path_type=Path))
@click.pass_obj
def check(context: Context, form: str, path: Path) -> None:
    """Check a settings file without starting anything.

    Prints all settings with their defaults. Exit status 2 and the path of
    the first wrong field when something is wrong.

    \f
    :param context: form of the output.
    :param form: which settings the file holds.
    :param path: YAML file.
    """
    parse = parse_gateway_settings if form == 'gateway' else parse_settings
    checked = parse(path.read_bytes())
    if isinstance(checked, Invalid):
        fail(checked)
    lines = msgspec.yaml.encode(checked).decode().splitlines()
    show(context, checked, lines)


main.add_command(document)

if __name__ == '__main__':
    main()
