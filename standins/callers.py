"""Callers that check what they get."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import eventlet
import urllib3
from urllib3.exceptions import HTTPError

_TIMEOUT_S = 60.0
_MAXIMUM_TRIES = 6
_TRY_PAUSE_S = 0.2
_MOVED = b': egret-stream '


@dataclass(slots=True, frozen=True)
class Call:
    """A request that a caller makes.

    :ivar identity: identity by which stand-ins count runs.
    :ivar service: service name.
    :ivar request_class: class, empty when the document's rules decide.
    :ivar organisation: organisation of the caller.
    :ivar prompt_tokens: length of the prompt; 0 for a plain service.
    :ivar output_tokens: length of the output.
    :ivar method: HTTP method of a plain call.
    :ivar path: path of a plain call.
    :ivar keyed: whether an issued key is sent.
    :ivar own_key: a key that the caller made, empty for none.
    :ivar comes_back: how often the caller comes back after a refusal.
    """

    identity: str
    service: str
    request_class: str = ''
    organisation: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    method: str = 'POST'
    path: str = ''
    keyed: bool = False
    own_key: str = ''
    comes_back: int = 0


@dataclass(slots=True)
class CallOutcome:
    """How a call ended.

    :ivar call: the call.
    :ivar kind: ``whole``, ``refused`` or ``broken``.
    :ivar reason: reason of a refusal, or what broke.
    :ivar ran: what a refusal said about running.
    :ivar refusal_id: identity of a refusal.
    :ivar retry_after_s: promised seconds, ``None`` without a promise.
    :ivar first_s: seconds to the first byte.
    :ivar total_s: seconds in all.
    :ivar resumed: how often a stream was taken up again.
    :ivar returns: how often the caller came back.
    :ivar host: address of the entry host that ended it.
    """

    call: Call
    kind: str
    reason: str = ''
    ran: str = ''
    refusal_id: str = ''
    retry_after_s: float | None = None
    first_s: float = float(0)
    total_s: float = float(0)
    resumed: int = 0
    returns: int = 0
    host: str = ''


@dataclass(slots=True)
class _Stream:
    tokens: list[str] = field(default_factory=list)
    last_id: int = 0
    whole: bool = False
    error: dict[str, Any] | None = None
    first_at: float | None = None


class Caller:
    """A caller in one data centre that keeps its list of entry hosts."""

    __slots__ = (
        '_data_centre',
        '_hosts',
        '_keep_until',
        '_keys',
        '_pool',
        '_random',
        '_seeds',
    )

    def __init__(
        self, seeds: list[str], data_centre: str, source: random.Random
    ) -> None:
        """Create a caller that knows no list yet.

        :param seeds: addresses to ask for the list.
        :param data_centre: data centre of the caller.
        :param source: random source.
        """
        self._seeds = seeds
        self._data_centre = data_centre
        self._random = source
        self._hosts: dict[str, list[str]] = {}
        self._keep_until: dict[str, float] = {}
        self._keys: list[str] = []
        self._pool = urllib3.PoolManager(
            maxsize=64,
            retries=False,
            timeout=urllib3.Timeout(connect=1, read=_TIMEOUT_S),
        )

    def make(self, call: Call) -> CallOutcome:
        """Make a call and see it to its end.

        :param call: the call.
        :return: how it ended.
        """
        started_at = time.monotonic()
        outcome = self._try_hosts(call, '')
        returns = 0
        while self._should_return(call, outcome, returns):
            eventlet.sleep(outcome.retry_after_s or 0)
            returns += 1
            outcome = self._try_hosts(call, outcome.refusal_id)
        outcome.returns = returns
        outcome.total_s = time.monotonic() - started_at
        return outcome

    def _should_return(
        self, call: Call, outcome: CallOutcome, returns: int
    ) -> bool:
        if outcome.kind != 'refused' or outcome.retry_after_s is None:
            return False
        return returns < call.comes_back and outcome.ran == 'no'

    def _try_hosts(self, call: Call, retry_of: str) -> CallOutcome:
        headers = self._create_headers(call, retry_of)
        outcome = CallOutcome(call, 'broken', 'no entry host answered')
        for number in range(_MAXIMUM_TRIES):
            hosts = self._list_hosts(call.organisation, fresh=number > 0)
            if not hosts:
                eventlet.sleep(_TRY_PAUSE_S)
                continue
            address = hosts[number % len(hosts)]
            if call.prompt_tokens:
                outcome = self._complete(call, address, headers)
            else:
                outcome = self._call_plain(call, address, headers)
            outcome.host = address
            if outcome.kind != 'broken' or outcome.reason != 'connect':
                return outcome
            eventlet.sleep(_TRY_PAUSE_S * number)
        return outcome

    def _create_headers(self, call: Call, retry_of: str) -> dict[str, str]:
        headers = {
            'Egret-Service': call.service,
            'Egret-Organisation': call.organisation,
            'Content-Type': 'application/json',
        }
        if call.request_class:
            headers['Egret-Class'] = call.request_class
        if retry_of:
            headers['Egret-Retry-Of'] = retry_of
        if call.own_key:
            headers['Idempotency-Key'] = call.own_key
        elif call.keyed:
            self._list_hosts(call.organisation, fresh=not self._keys)
            if self._keys:
                headers['Idempotency-Key'] = self._keys.pop()
        return headers

    def _list_hosts(self, organisation: str, *, fresh: bool) -> list[str]:
        now = time.monotonic()
        kept = self._keep_until.get(organisation, 0)
        if not fresh and now < kept:
            return self._hosts[organisation]
        seeds = [*self._hosts.get(organisation, []), *self._seeds]
        query = (
            f'organisation={organisation}'
            f'&data_centre={self._data_centre}&keys=8'
        )
        for seed in seeds:
            try:
                response = self._pool.request(
                    'GET', f'http://{seed}/v1/hosts?{query}', timeout=2
                )
                answer = json.loads(response.data)
            except (HTTPError, ValueError):
                continue
            self._keys.extend(answer['keys'])
            hosts = [entry['address'] for entry in answer['hosts']]
            self._hosts[organisation] = hosts
            self._keep_until[organisation] = now + answer['keep_s']
            return hosts
        return self._hosts.get(organisation, [])

    def _call_plain(
        self, call: Call, address: str, headers: dict[str, str]
    ) -> CallOutcome:
        url = f'http://{address}/services/{call.service}{call.path}'
        body = json.dumps({'identity': call.identity})
        started_at = time.monotonic()
        try:
            response = self._pool.request(
                call.method, url, body=body, headers=headers
            )
        except urllib3.exceptions.NewConnectionError:
            return CallOutcome(call, 'broken', 'connect')
        except HTTPError as broken:
            return CallOutcome(call, 'broken', f'connection: {broken}')
        first_s = time.monotonic() - started_at
        if response.status != 200:
            return _read_refusal(call, response.data)
        answer = json.loads(response.data)
        if answer.get('identity') != call.identity:
            return CallOutcome(call, 'broken', 'answer to another request')
        return CallOutcome(call, 'whole', first_s=first_s)

    def _complete(
        self, call: Call, address: str, headers: dict[str, str]
    ) -> CallOutcome:
        stream = _Stream()
        started_at = time.monotonic()
        resumed = 0
        while True:
            outcome = self._read_stream(call, address, headers, stream)
            if outcome is not None:
                outcome.resumed = resumed
                if stream.first_at is not None:
                    outcome.first_s = stream.first_at - started_at
                return outcome
            if not stream.tokens or 'Egret-Stream' not in headers:
                return CallOutcome(call, 'broken', 'connect')
            # The entry host is gone; another one goes on with the stream.
            resumed += 1
            if resumed > _MAXIMUM_TRIES:
                return CallOutcome(call, 'broken', 'resumed too often')
            headers['Last-Event-ID'] = str(stream.last_id)
            eventlet.sleep(_TRY_PAUSE_S)
            others = self._list_hosts(call.organisation, fresh=True)
            others = [host for host in others if host != address]
            if not others:
                return CallOutcome(call, 'broken', 'no other entry host')
            address = self._random.choice(others)

    def _read_stream(
        self,
        call: Call,
        address: str,
        headers: dict[str, str],
        stream: _Stream,
    ) -> CallOutcome | None:
        body = json.dumps(
            {
                'model': call.service,
                'stream': True,
                'prompt': _create_prompt(call),
                'max_tokens': 4096,
                'standin_output': call.output_tokens,
                'standin_identity': call.identity,
            }
        )
        url = f'http://{address}/v1/completions'
        try:
            response = self._pool.request(
                'POST', url, body=body, headers=headers, preload_content=False
            )
            if response.status != 200:
                return _read_refusal(call, response.data)
            headers['Egret-Stream'] = response.headers['Egret-Stream']
            for event in _split_events(response):
                if event.startswith(_MOVED):
                    token = event.removeprefix(_MOVED).decode()
                    headers['Egret-Stream'] = token
                else:
                    _take_event(stream, event)
        except (HTTPError, OSError):
            return None
        return _judge_stream(call, stream)


def _create_prompt(call: Call) -> str:
    words = f'{call.organisation} {call.request_class} '
    length = call.prompt_tokens * 4
    return (words * (length // len(words) + 1))[:length]


def _split_events(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    pending = b''
    while True:
        chunk = response.read1(65536)
        if not chunk:
            return
        pending += chunk
        *events, pending = pending.split(b'\n\n')
        yield from events


def _take_event(stream: _Stream, event: bytes) -> None:
    if stream.first_at is None:
        stream.first_at = time.monotonic()
    name = ''
    for line in event.split(b'\n'):
        label, _, text = line.partition(b': ')
        if label == b'event':
            name = text.decode()
        elif label == b'id':
            stream.last_id = int(text)
        elif label == b'data' and text == b'[DONE]':
            stream.whole = True
        elif label == b'data':
            fields = json.loads(text)
            if name == 'error':
                stream.error = fields
                continue
            choice = fields['choices'][0]
            token = choice.get('text') or choice['delta']['content']
            stream.tokens.append(token)


def _judge_stream(call: Call, stream: _Stream) -> CallOutcome | None:
    if stream.error is not None:
        return _build_refusal(call, stream.error)
    if not stream.whole:
        return None
    expected = [f'w{index} ' for index in range(call.output_tokens)]
    if stream.tokens != expected:
        return CallOutcome(
            call,
            'broken',
            f'{len(stream.tokens)} tokens differ from {len(expected)}',
        )
    return CallOutcome(call, 'whole')


def _read_refusal(call: Call, body: bytes) -> CallOutcome:
    try:
        return _build_refusal(call, json.loads(body))
    except (ValueError, KeyError):
        return CallOutcome(call, 'broken', f'not a refusal: {body[:80]!r}')


def _build_refusal(call: Call, problem: dict[str, Any]) -> CallOutcome:
    return CallOutcome(
        call,
        'refused',
        problem['type'].rpartition(':')[2],
        problem['ran'],
        problem['refusal_id'],
        problem.get('retry_after_s'),
    )
