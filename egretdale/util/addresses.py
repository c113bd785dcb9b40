"""Network addresses as text."""

from __future__ import annotations

from egretdale.errors import Invalid

_MAXIMUM_PORT = 65535
_MAXIMUM_DIGITS = 5


def split_address(address: str) -> tuple[str, int] | Invalid:
    """Split an address that another program has written.

    :param address: host and port, separated by a colon.
    :return: host and port, or what is wrong.
    """
    host, _, digits = address.rpartition(':')
    if not host or len(digits) > _MAXIMUM_DIGITS:
        return Invalid('$.address', 'must be an address and a port')
    if not (digits.isascii() and digits.isdigit()):
        return Invalid('$.address', 'must end with the number of a port')
    port = int(digits)
    if not 0 < port <= _MAXIMUM_PORT:
        return Invalid(
            '$.address', f'has no port between 1 and {_MAXIMUM_PORT}'
        )
    return host, port
