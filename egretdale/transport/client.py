"""Client of the HTTP interface for operators."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from egretdale.errors import Cause, Invalid, Unreachable
from egretdale.util.json_text import decode_json

_TIMEOUT_S = 5.0
_WRITE_TIMEOUT_S = 30.0
_OK_STATUSES = frozenset((200, 202, 409))

_Response = TypeVar('_Response')


class OperatorClient:
    """Calls entry hosts in order until one responds.

    :ivar addresses: ``address:port`` of entry hosts.
    """

    __slots__ = ('_pool', 'addresses')

    def __init__(self, addresses: tuple[str, ...]) -> None:
        """Create a client.

        :param addresses: ``address:port`` of entry hosts.
        """
        self.addresses = addresses
        self._pool = urllib3.PoolManager(retries=False, timeout=_TIMEOUT_S)

    def get(
        self, path: str, response_type: type[_Response]
    ) -> _Response | Invalid | Unreachable:
        """Read a resource.

        :param path: path of the resource.
        :param response_type: type of the response.
        :return: the response, or the reason for the failure.
        """
        return self._call_any('GET', path, None, response_type)

    def get_from(
        self, address: str, path: str, response_type: type[_Response]
    ) -> _Response | Invalid | Unreachable:
        """Read a resource from a given host.

        :param address: ``address:port`` of the host.
        :param path: path of the resource.
        :param response_type: type of the response.
        :return: the response, or the reason for the failure.
        """
        return self._call(address, 'GET', path, None, response_type)

    def post(
        self, path: str, body: Any, response_type: type[_Response]
    ) -> _Response | Invalid | Unreachable:
        """Send a body to a resource.

        :param path: path of the resource.
        :param body: body to encode as JSON.
        :param response_type: type of the response.
        :return: the response, or the reason for the failure.
        """
        encoded = msgspec.json.encode(body)
        return self._call_any('POST', path, encoded, response_type)

    def _call_any(
        self,
        method: str,
        path: str,
        body: bytes | None,
        response_type: type[_Response],
    ) -> _Response | Invalid | Unreachable:
        failure = Unreachable(Cause.REFUSED, 'no entry host was given')
        for address in self.addresses:
            outcome = self._call(address, method, path, body, response_type)
            if not isinstance(outcome, Unreachable):
                return outcome
            if method == 'POST' and outcome.cause != Cause.REFUSED:
                # It may have taken effect; do not repeat it at another host.
                return outcome
            failure = outcome
        return failure

    def _call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        response_type: type[_Response],
    ) -> _Response | Invalid | Unreachable:
        url = f'http://{address}{path}'
        timeout_s = _TIMEOUT_S if body is None else _WRITE_TIMEOUT_S
        try:
            response = self._pool.request(
                method, url, body=body, timeout=timeout_s
            )
        except NewConnectionError as refused:
            return Unreachable(Cause.REFUSED, f'{address}: {refused}')
        except HTTPError as failure:
            return Unreachable(Cause.BROKEN, f'{address}: {failure}')
        expected = response.status in _OK_STATUSES
        decoded_type: Any = response_type if expected else Invalid
        decoded = decode_json(response.data, decoded_type)
        if expected and isinstance(decoded, Invalid):
            detail = f'{address}: {decoded.message}'
            return Unreachable(Cause.MALFORMED, detail)
        return decoded
