"""Clients of the soak and what they got."""

from __future__ import annotations

import random
from dataclasses import dataclass

import eventlet
import urllib3
from urllib3.exceptions import HTTPError

from egretdale.util.clocks import read_hub_clock
from soak.daemons import HOST_NAME, get_path_prefix
from soak.servers import EVENTS, create_body, create_event

KINDS = ('non_idempotent', 'idempotent', 'streaming')
_PAUSE_S = 0.05
_TIMEOUT_S = 6.0
_DEADLINE_MS = 5000
_OK = 200
_UNAVAILABLE = 503


@dataclass(slots=True)
class Attempt:
    """A request and its answer, as a client saw them.

    :ivar identity: identity of the request.
    :ivar kind: kind of its route.
    :ivar key: key that it was sent with.
    :ivar host: index of the daemon that it was sent to.
    :ivar sent_at: clock time at which it was sent.
    :ivar ended_at: clock time at which its answer ended.
    :ivar status: status of the answer, 0 without one.
    :ivar sealed: whether a backend server signed the answer.
    :ivar complete: whether the answer ended as its framing says.
    :ivar body: body of the answer as far as it came.
    :ivar retry_after_s: seconds after which the client may come back, as the
        answer states them; ``None`` when it does not.
    """

    identity: str
    kind: str
    key: str
    host: int
    sent_at: float
    ended_at: float = 0
    status: int = 0
    sealed: bool = False
    complete: bool = False
    body: bytes = b''
    retry_after_s: float | None = None

    def is_correct(self) -> bool:
        """Tell whether the body is the whole answer to this request."""
        return self.body == self.create_expected_body()

    def create_expected_body(self) -> bytes:
        """Create the whole answer to this request."""
        if self.kind != 'streaming':
            return create_body(self.identity)
        return b''.join(
            create_event(self.identity, number)
            for number in range(1, EVENTS + 1)
        )

    def is_served(self) -> bool:
        """Tell whether the client got what it asked for."""
        return self.status == _OK and self.complete and self.is_correct()

    def is_refused_by(self, reason: str) -> bool:
        """Tell whether a daemon refused in full, with a time to come back.

        :param reason: the only reason that counts.
        """
        refused = self.status == _UNAVAILABLE and not self.sealed
        may_return = self.complete and self.retry_after_s is not None
        text = f'{reason}: '.encode()
        return refused and may_return and self.body.startswith(text)


class Client:
    """Sends one request after the other, on connections that it keeps."""

    def __init__(
        self, name: str, addresses: list[str], source: random.Random
    ) -> None:
        """Create a client.

        :param name: start of the identities of its requests.
        :param addresses: addresses of the daemons.
        :param source: random source.
        """
        self.attempts: list[Attempt] = []
        self.key = ''
        self.stopping = False
        self._name = name
        self._addresses = addresses
        self._random = source
        self._pool = urllib3.PoolManager(
            maxsize=4, retries=False, timeout=_TIMEOUT_S
        )

    def run(self) -> None:
        """Send until told to leave."""
        host = self._random.randrange(len(self._addresses))
        while not self.stopping:
            attempt = self.send(host)
            if not attempt.is_served():
                host = self._random.randrange(len(self._addresses))
            eventlet.sleep(self._random.uniform(0, 2 * _PAUSE_S))

    def send(self, host: int, *, keep: bool = True) -> Attempt:
        """Send one request.

        :param host: index of the daemon.
        :param keep: whether the connection is kept.
        :return: what came of it.
        """
        kind = self._random.choice(KINDS)
        identity = f'{self._name}-{len(self.attempts)}'
        now = read_hub_clock()
        attempt = Attempt(identity, kind, self.key, host, now)
        self.attempts.append(attempt)
        try:
            self._exchange(attempt, keep=keep)
        except HTTPError:
            attempt.complete = False
        attempt.ended_at = read_hub_clock()
        return attempt

    def _exchange(self, attempt: Attempt, *, keep: bool) -> None:
        headers = {
            'Host': HOST_NAME,
            'Attempt-Id': attempt.identity,
            'Deadline-Ms': str(_DEADLINE_MS),
        }
        if not keep:
            headers['Connection'] = 'close'
        if attempt.key:
            headers['Authorization'] = f'Token {attempt.key}'
        address = self._addresses[attempt.host]
        answer = self._pool.request(
            'POST',
            f'http://{address}{get_path_prefix(attempt.kind)}x',
            body=b'{}',
            headers=headers,
            preload_content=False,
        )
        attempt.status = answer.status
        attempt.sealed = 'Server-Seal' in answer.headers
        if 'Retry-After' in answer.headers:
            attempt.retry_after_s = float(answer.headers['Retry-After'])
        for chunk in answer.stream(1024):
            attempt.body += chunk
        attempt.complete = True
        answer.release_conn()
