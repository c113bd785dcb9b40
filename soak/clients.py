"""Clients of the soak test and the responses that they received."""

from __future__ import annotations

import random
from dataclasses import dataclass

import eventlet
import urllib3
from urllib3.exceptions import HTTPError

from egretdale.util.clocks import read_hub_clock
from soak.daemons import (
    HOST_NAME,
    IDLE_TIMEOUT_S,
    REQUEST_NAME,
    get_path_prefix,
)
from soak.servers import EVENTS, create_body, create_event

KINDS = ('non_idempotent', 'idempotent', 'streaming')
#: Mean pause between the requests of a client, in seconds.
_PAUSE_S = 0.05
#: Probability of a longer pause, and its maximum in seconds.
_LONG_PAUSE_PROBABILITY = 0.025
_MAXIMUM_PAUSE_S = 4.0
#: Fraction of the idle timeout for which a connection is reused.
_REUSE_SHARE = 0.8
_TIMEOUT_S = 6.0
_DEADLINE_MS = 5000
_OK = 200
_UNAVAILABLE = 503


@dataclass(slots=True)
class Attempt:
    """A request and its response, as a client observed them.

    :ivar identity: ID of the request.
    :ivar kind: kind of its route.
    :ivar key: API key that it was sent with.
    :ivar host: index of the daemon that it was sent to.
    :ivar sent_at: time at which it was sent, on the clock of this process.
    :ivar ended_at: time at which its response ended or failed.
    :ivar path: last part of its path.
    :ivar status: HTTP status of the response, 0 if there was none.
    :ivar sealed: whether a backend server signed the response.
    :ivar complete: whether the response was complete according to its framing.
    :ivar body: body of the response, as far as it was received.
    :ivar told_at: time of a head of a response that says that its server
        leaves, 0 if it does not.
    :ivar retry_after_s: seconds after which the client may retry, as stated in
        the response; ``None`` if not stated.
    """

    identity: str
    kind: str
    key: str
    host: int
    sent_at: float
    ended_at: float = 0
    path: str = REQUEST_NAME
    status: int = 0
    sealed: bool = False
    complete: bool = False
    body: bytes = b''
    told_at: float = 0
    retry_after_s: float | None = None

    def is_correct(self) -> bool:
        """Return whether the body is the complete expected body."""
        return self.body == self.create_expected_body()

    def create_expected_body(self) -> bytes:
        """Create the complete body that a correct response has."""
        if self.kind != 'streaming':
            return create_body(self.identity)
        return b''.join(
            create_event(self.identity, number)
            for number in range(1, EVENTS + 1)
        )

    def is_served(self) -> bool:
        """Return whether the request succeeded with a correct response."""
        return self.status == _OK and self.complete and self.is_correct()

    def is_refused_by(self, reason: str) -> bool:
        """Return whether a daemon refused with a complete 503 response.

        The response must state when to retry and the given reason.

        :param reason: expected reason.
        """
        refused = self.status == _UNAVAILABLE and not self.sealed
        may_retry = self.complete and self.retry_after_s is not None
        text = f'{reason}: '.encode()
        return refused and may_retry and self.body.startswith(text)


class Client:
    """Sends one request after the other on persistent connections.

    :ivar attempts: requests sent so far.
    :ivar key: API key to send, empty for none.
    :ivar stopping: whether to stop after the current request.
    :ivar idle_timeout_s: idle timeout of the configuration in seconds.
    :ivar rests_until: clock time until which :meth:`run` sends nothing.
    """

    def __init__(
        self, name: str, addresses: list[str], source: random.Random
    ) -> None:
        """Create a client.

        :param name: prefix of its request IDs.
        :param addresses: addresses of the daemons.
        :param source: random number generator.
        """
        self.attempts: list[Attempt] = []
        self.key = ''
        self.stopping = False
        self.idle_timeout_s = IDLE_TIMEOUT_S
        self.rests_until = float(0)
        self._used_at: dict[int, float] = {}
        self._name = name
        self._addresses = addresses
        self._random = source
        self._pool = urllib3.PoolManager(
            maxsize=4, retries=False, timeout=_TIMEOUT_S
        )

    def run(self) -> None:
        """Send requests until :attr:`stopping` is set."""
        host = self._random.randrange(len(self._addresses))
        while not self.stopping:
            attempt = self.send(host)
            if not attempt.is_served():
                host = self._random.randrange(len(self._addresses))
            eventlet.sleep(self._draw_pause())
            eventlet.sleep(max(0, self.rests_until - read_hub_clock()))

    def send(self, host: int, *, keep: bool = True) -> Attempt:
        """Send one request.

        :param host: index of the daemon.
        :param keep: whether to keep the connection open.
        :return: the request and its response.
        """
        attempt = self._create_attempt(self._random.choice(KINDS), host)
        return self._send(attempt, keep=keep)

    def repeat(self, path: str) -> None:
        """Send a request to a random daemon that differs in its ID only.

        :param path: last part of its path.
        """
        host = self._random.randrange(len(self._addresses))
        attempt = self._create_attempt('idempotent', host)
        attempt.path = path
        self._send(attempt, keep=True)

    def _draw_pause(self) -> float:
        if self._random.random() > _LONG_PAUSE_PROBABILITY:
            return self._random.uniform(0, 2 * _PAUSE_S)
        reuse_s = _REUSE_SHARE * self.idle_timeout_s
        return self._random.uniform(0, min(_MAXIMUM_PAUSE_S, reuse_s))

    def _drop_idle_connections(self, host: int) -> None:
        reuse_s = _REUSE_SHARE * self.idle_timeout_s
        now = read_hub_clock()
        if now - self._used_at.get(host, now) > reuse_s:
            self._pool.clear()

    def _create_attempt(self, kind: str, host: int) -> Attempt:
        identity = f'{self._name}-{len(self.attempts)}'
        attempt = Attempt(identity, kind, self.key, host, read_hub_clock())
        # Requests that differ in their ID only would be quarantined together.
        attempt.path = f'{REQUEST_NAME}/{identity}'
        self.attempts.append(attempt)
        return attempt

    def _send(self, attempt: Attempt, *, keep: bool) -> Attempt:
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
        self._drop_idle_connections(attempt.host)
        response = self._pool.request(
            'POST',
            f'http://{address}{get_path_prefix(attempt.kind)}{attempt.path}',
            body=b'{}',
            headers=headers,
            preload_content=False,
        )
        attempt.status = response.status
        attempt.sealed = 'Server-Seal' in response.headers
        if 'Server-Leaving' in response.headers:
            attempt.told_at = read_hub_clock()
        if 'Retry-After' in response.headers:
            attempt.retry_after_s = float(response.headers['Retry-After'])
        for chunk in response.stream(1024):
            attempt.body += chunk
        attempt.complete = True
        response.release_conn()
        self._used_at[attempt.host] = read_hub_clock()
