"""Command line interface for operators."""

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
from egretdale.protocol.hosts import HostsResponse
from egretdale.protocol.operators import Explanation, StatusResponse
from egretdale.state.identity import decode_refusal
from egretdale.state.failures import count_failures
from egretdale.state.timelines import build_timeline
from egretdale.transport.client import OperatorClient


@click.group()
@click.option(
    '--host',
    'hosts',
    multiple=True,
    envvar='EGRETDALE_HOSTS',
    metavar='ADDRESS:PORT',
    help='Entry host to contact; repeat the option to add fallbacks.',
)
@click.option(
    '--output',
    type=click.Choice(('text', 'json')),
    default='text',
    help='Output format.',
)
@click.version_option(package_name='egretdale')
@click.pass_context
def main(context: click.Context, hosts: tuple[str, ...], output: str) -> None:
    """Manage egretdale documents, refusals, hosts and settings.

    Exit status: 0 success, 1 refused or outdated, 2 invalid input,
    3 no entry host answered, 4 outcome unknown.

    \f
    :param context: click context.
    :param hosts: entry hosts to contact.
    :param output: output format.
    """
    context.obj = Context(OperatorClient(hosts), output == 'json')


@main.command()
@click.argument('request_id')
@click.option(
    '--logs',
    type=click.File('r', errors='replace'),
    default='-',
    help='Log file with lines of any hosts; default: standard input.',
)
@click.pass_obj
def story(context: Context, request_id: str, logs: TextIO) -> None:
    """Reconstruct the course of a request from the logs of all hosts.

    Prints how the request ended and why, which conditions impaired its hosts
    at the time, and its log lines in order. The exit status is 1 if the logs
    contain no line of the request.

    \f
    :param context: output format.
    :param request_id: ID of the request.
    :param logs: log lines.
    """
    timeline = build_timeline(logs, request_id)
    lines = [timeline.verdict]
    lines.extend(
        f'impaired: {condition.describe()}'
        for condition in timeline.circumstances
    )
    lines.extend(entry.describe() for entry in timeline.entries)
    show(context, timeline, lines)
    if not timeline.entries:
        sys.exit(REFUSED_EXIT)


@main.command()
@click.option(
    '--logs',
    type=click.File(),
    default='-',
    help='Log file with lines of any hosts; default: standard input.',
)
@click.pass_obj
def failures(context: Context, logs: TextIO) -> None:
    """Count the requests that were not served, by service and cause.

    Requests that were never sent have no service.

    \f
    :param context: output format.
    :param logs: log lines.
    """
    counts = count_failures(logs).most_common()
    rows = [
        {'service': service, 'cause': cause, 'requests': count}
        for (service, cause), count in counts
    ]
    lines = [
        f'{count:6} {service or "-"}: {cause}'
        for (service, cause), count in counts
    ]
    show(context, rows, lines)


@main.command()
@click.pass_obj
def status(context: Context) -> None:
    """Show the state of an entry host and its view of the others.

    \f
    :param context: client and output format.
    """
    response = context.client.get('/v1/status', StatusResponse)
    if isinstance(response, Invalid | Unreachable):
        fail(response)
    lines = [
        f'{response.host.host} incarnation {response.host.incarnation}'
        f'{" leaving" if response.host.leaving else ""}'
        f'{" ISOLATED" if response.host.isolated else ""}',
    ]
    for service, revision in sorted(response.host.revisions.items()):
        lines.append(f'  document {service} revision {revision}')
    for member in response.members:
        lines.append(
            f'  {member.host:12} {member.status:8} {member.data_centre:10}'
            f' {member.caller_address:21} load {member.load}'
        )
    show(context, response, lines)


@main.command()
@click.argument('refusal_id')
@click.pass_obj
def explain(context: Context, refusal_id: str) -> None:
    """Explain a refusal.

    The refusal ID contains the main facts, so they can be shown even if no
    host can be reached.

    \f
    :param context: client and output format.
    :param refusal_id: ID from the refusal response.
    """
    record = decode_refusal(refusal_id)
    if isinstance(record, Invalid):
        fail(record)
    explanation = Explanation(record)
    for address in _list_addresses(context):
        response = context.client.get_from(
            address, f'/v1/explain/{refusal_id}', Explanation
        )
        if isinstance(response, Explanation) and response.detail:
            explanation = response
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
        lines.append(f'retry after  {record.retry_after_ms} ms')
    if explanation.detail:
        lines.append(f'detail       {explanation.detail}')
    show(context, explanation, lines)


def _list_addresses(context: Context) -> list[str]:
    """List the given hosts and those known to the first that answers."""
    addresses = list(context.client.addresses)
    status = context.client.get('/v1/status', StatusResponse)
    if isinstance(status, StatusResponse):
        addresses += [
            member.caller_address
            for member in status.members
            if member.caller_address and member.status != 'gone'
        ]
    return list(dict.fromkeys(addresses))


@main.command()
@click.option('--organisation', default='', help='Organisation of the caller.')
@click.option('--data-centre', default='', help='Data centre of the caller.')
@click.pass_obj
def hosts(context: Context, organisation: str, data_centre: str) -> None:
    """Show which entry hosts a caller would be directed to.

    \f
    :param context: client and output format.
    :param organisation: organisation of the caller.
    :param data_centre: data centre of the caller.
    """
    query = f'organisation={organisation}&data_centre={data_centre}&keys=0'
    response = context.client.get(f'/v1/hosts?{query}', HostsResponse)
    if isinstance(response, Invalid | Unreachable):
        fail(response)
    lines = [f'valid for {response.keep_s} s']
    for entry in response.hosts:
        lines.append(f'{entry.host} {entry.address} {entry.data_centre}')
    show(context, response, lines)


@main.command()
@click.pass_obj
def drain(context: Context) -> None:
    """Start a graceful shutdown of the first host that can be reached.

    \f
    :param context: client and output format.
    """
    response = context.client.post('/v1/drain', {}, dict)
    if isinstance(response, Invalid | Unreachable):
        fail(response)
    show(context, response, ['graceful shutdown started'])


@main.group()
def settings() -> None:
    """Inspect settings files."""


@settings.command()
@click.option(
    '--form',
    type=click.Choice(('daemon', 'gateway')),
    default='daemon',
    help='Settings of a daemon or of a gateway that forwards by routes.',
)
@click.argument('path', type=click.Path(exists=True, path_type=Path))
@click.pass_obj
def check(context: Context, form: str, path: Path) -> None:
    """Validate a settings file without starting a daemon.

    Prints all settings including defaults. If the file is invalid, prints
    the path of the first invalid field and exits with status 2.

    \f
    :param context: output format.
    :param form: type of the settings.
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
