"""Command line of the daemon."""

from __future__ import annotations

from egretdale.util import greening  # noqa: F401, I001

import signal
import sys
from pathlib import Path
from types import FrameType

import click
import eventlet
from egretdale.config import parse_settings
from egretdale.errors import Invalid
from egretdale.transport.daemon import Daemon
from egretdale.util.logs import choose_verbosity

_SETTINGS_EXIT = 2


@click.command()
@click.option(
    '--settings',
    'settings_path',
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    required=True,
    help='YAML file with the settings of this host.',
)
@click.version_option(package_name='egretdale')
def main(settings_path: Path) -> None:
    """Run an entry host that routes requests to backend servers.

    \f
    :param settings_path: YAML file with the settings.
    """
    settings = parse_settings(settings_path.read_bytes())
    if isinstance(settings, Invalid):
        click.echo(f'{settings.path}: {settings.message}', err=True)
        sys.exit(_SETTINGS_EXIT)
    choose_verbosity(settings.log_level)
    try:
        daemon = Daemon(settings)
    except OSError as error:
        click.echo(f'cannot listen: {error}', err=True)
        sys.exit(_SETTINGS_EXIT)

    def stop(number: int, frame: FrameType | None) -> None:
        eventlet.spawn_n(daemon.request_stop)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    sys.exit(daemon.run())


if __name__ == '__main__':
    main()
