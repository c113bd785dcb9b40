"""The story of one request, put together from log lines of all hosts."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

import msgspec

#: Events after which a host lacks something, and those that end the lack.
_LOSSES = MappingProxyType(
    {
        'configuration-source-lost': 'configuration-source-regained',
        'backend-list-lost': 'backend-list-regained',
        'drain-started': 'stopped',
    }
)
_SHOWN_FIRST = ('at', 'entry_host', 'event')
_HIDDEN = frozenset((*_SHOWN_FIRST, 'module', 'request_id'))


@dataclass(slots=True, frozen=True)
class LogEntry:
    """A structured log line.

    :ivar at: seconds since the Unix epoch.
    :ivar entry_host: host that wrote it.
    :ivar event: what happened.
    :ivar facts: all fields of the line.
    """

    at: float
    entry_host: str
    event: str
    facts: dict[str, Any]

    def describe(self) -> str:
        """Return the line as text for a person."""
        facts = ' '.join(
            f'{name}={fact}'
            for name, fact in self.facts.items()
            if name not in _HIDDEN and fact not in {None, ''}
        )
        return f'{self.at:.3f} {self.entry_host} {self.event} {facts}'


@dataclass(slots=True)
class RequestTimeline:
    """What the logs say of a request.

    :ivar entries: its lines, in order of time.
    :ivar circumstances: what its hosts lacked while it ran.
    :ivar verdict: how it ended and why, in one sentence.
    """

    entries: list[LogEntry] = field(default_factory=list)
    circumstances: list[LogEntry] = field(default_factory=list)
    verdict: str = 'the logs hold nothing of this request'


def parse_line(line: str) -> LogEntry | None:
    """Parse a log line; text before the JSON object is skipped.

    :param line: the line.
    :return: the entry, or ``None`` for a line of another form.
    """
    start = line.find('{')
    if start < 0:
        return None
    try:
        facts = msgspec.json.decode(line[start:], type=dict[str, Any])
    except msgspec.MsgspecError:
        return None
    event = facts.get('event')
    if not isinstance(event, str):
        return None
    host = str(facts.get('entry_host', ''))
    return LogEntry(float(facts.get('at', 0)), host, event, facts)


def build_timeline(lines: Iterable[str], request_id: str) -> RequestTimeline:
    """Put the story of a request together.

    :param lines: log lines of any number of hosts, in any order.
    :param request_id: ID of the request.
    :return: the story.
    """
    parsed = (parse_line(line) for line in lines)
    entries = sorted(
        (entry for entry in parsed if entry is not None),
        key=lambda entry: entry.at,
    )
    story = RequestTimeline(
        [
            entry
            for entry in entries
            if entry.facts.get('request_id') == request_id
        ]
    )
    if not story.entries:
        return story
    hosts = {entry.entry_host for entry in story.entries}
    before = [
        entry
        for entry in entries
        if entry.entry_host in hosts and entry.at <= story.entries[-1].at
    ]
    story.circumstances = _find_losses(before)
    story.verdict = _judge(story)
    return story


def _find_losses(entries: list[LogEntry]) -> list[LogEntry]:
    open_losses: dict[tuple[str, str], LogEntry] = {}
    for entry in entries:
        if entry.event == 'started':
            # A new process has lost nothing yet.
            for known in _LOSSES:
                open_losses.pop((entry.entry_host, known), None)
        if entry.event in _LOSSES:
            open_losses[entry.entry_host, entry.event] = entry
        for loss, end in _LOSSES.items():
            if entry.event == end:
                open_losses.pop((entry.entry_host, loss), None)
    return list(open_losses.values())


def _judge(story: RequestTimeline) -> str:
    last = story.entries[-1]
    attempts = [entry for entry in story.entries if entry.event == 'attempt']
    sent = ', '.join(
        f'{entry.facts.get("backend")}: {entry.facts.get("outcome")}'
        for entry in attempts
    )
    tried = f'; sent to {sent}' if sent else '; sent nowhere'
    match last.event:
        case 'refused':
            reason = last.facts.get('reason')
            ran = last.facts.get('ran')
            detail = last.facts.get('detail')
            return f'refused as {reason} (ran: {ran}), {detail}{tried}'
        case 'request-ended':
            return f'ended as {last.facts.get("outcome")}{tried}'
    return f'no end is logged{tried}'
