"""Client of the operators' HTTP interface, for the command line."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from egretdale.errors import Cause, Invalid, Unreachable

_TIMEOUT_S = 5.0
_WRITE_TIMEOUT_S = 30.0
_OK_STATUSES = frozenset((200, 202, 409))

_Answer = TypeVar('_Answer')


class OperatorClient:
    """Calls entry hosts, the next one when one does not answer.

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
        self, path: str, answer_type: type[_Answer]
    ) -> _Answer | Invalid | Unreachable:
        """Read a resource.

        :param path: path of the resource.
        :param answer_type: type of the answer.
        :return: the answer, or why there is none.
        """
        return self._call_any('GET', path, None, answer_type)

    def get_from(
        self, address: str, path: str, answer_type: type[_Answer]
    ) -> _Answer | Invalid | Unreachable:
        """Read a resource of one host.

        :param address: ``address:port`` of the host.
        :param path: path of the resource.
        :param answer_type: type of the answer.
        :return: the answer, or why there is none.
        """
        return self._call(address, 'GET', path, None, answer_type)

    def post(
        self, path: str, body: Any, answer_type: type[_Answer]
    ) -> _Answer | Invalid | Unreachable:
        """Send a body to a resource.

        :param path: path of the resource.
        :param body: body to encode as JSON.
        :param answer_type: type of the answer.
        :return: the answer, or why there is none.
        """
        encoded = msgspec.json.encode(body)
        return self._call_any('POST', path, encoded, answer_type)

    def _call_any(
        self,
        method: str,
        path: str,
        body: bytes | None,
        answer_type: type[_Answer],
    ) -> _Answer | Invalid | Unreachable:
        failed = Unreachable(Cause.REFUSED, 'no entry host was given')
        for address in self.addresses:
            outcome = self._call(address, method, path, body, answer_type)
            if not isinstance(outcome, Unreachable):
                return outcome
            if method == 'POST' and outcome.cause != Cause.REFUSED:
                # It may have taken effect; another host must not repeat it.
                return outcome
            failed = outcome
        return failed

    def _call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        answer_type: type[_Answer],
    ) -> _Answer | Invalid | Unreachable:
        url = f'http://{address}{path}'
        timeout_s = _TIMEOUT_S if body is None else _WRITE_TIMEOUT_S
        try:
            response = self._pool.request(
                method, url, body=body, timeout=timeout_s
            )
        except NewConnectionError as refused:
            return Unreachable(Cause.REFUSED, f'{address}: {refused}')
        except HTTPError as failed:
            return Unreachable(Cause.BROKEN, f'{address}: {failed}')
        known = response.status in _OK_STATUSES
        wanted: Any = answer_type if known else Invalid
        try:
            return msgspec.json.decode(response.data, type=wanted)
        except msgspec.MsgspecError as malformed:
            return Unreachable(Cause.MALFORMED, f'{address}: {malformed}')
