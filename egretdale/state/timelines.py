"""Timeline of one request, reconstructed from the log lines of all hosts."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from egretdale.errors import Invalid
from egretdale.util.json_text import decode_json

#: Events that begin an impairment of a host, with the events that end it.
_IMPAIRMENTS = MappingProxyType(
    {
        'configuration-source-lost': 'configuration-source-regained',
        'backend-list-lost': 'backend-list-regained',
        'backends-lost': 'backends-regained',
        'drain-started': 'stopped',
    }
)
_SHOWN_FIRST = ('at', 'entry_host', 'event')
_HIDDEN = frozenset((*_SHOWN_FIRST, 'module', 'request_id'))


@dataclass(slots=True, frozen=True)
class LogEntry:
    """A structured log line.

    :ivar at: time in seconds since the Unix epoch.
    :ivar entry_host: host that wrote the line.
    :ivar event: name of the event.
    :ivar facts: all fields of the line.
    """

    at: float
    entry_host: str
    event: str
    facts: dict[str, Any]

    def describe(self) -> str:
        """Return the line as human-readable text."""
        facts = ' '.join(
            f'{name}={fact}'
            for name, fact in self.facts.items()
            if name not in _HIDDEN and fact not in {None, ''}
        )
        return f'{self.at:.3f} {self.entry_host} {self.event} {facts}'


@dataclass(slots=True)
class RequestTimeline:
    """The course of a request according to the logs.

    :ivar entries: log lines of the request, in order of time.
    :ivar circumstances: log lines of the impairments of its hosts that were
        in effect when it ended.
    :ivar verdict: one sentence on how it ended and why.
    """

    entries: list[LogEntry] = field(default_factory=list)
    circumstances: list[LogEntry] = field(default_factory=list)
    verdict: str = 'the logs contain nothing about this request'


def parse_line(line: str) -> LogEntry | None:
    """Parse a log line, skipping any text before the JSON object.

    :param line: the line.
    :return: the entry, or ``None`` if the line has another format.
    """
    start = line.find('{')
    if start < 0:
        return None
    facts = decode_json(line[start:], dict[str, Any])
    if isinstance(facts, Invalid):
        return None
    event = facts.get('event')
    if not isinstance(event, str):
        return None
    host = str(facts.get('entry_host', ''))
    return LogEntry(float(facts.get('at', 0)), host, event, facts)


def build_timeline(lines: Iterable[str], request_id: str) -> RequestTimeline:
    """Reconstruct the timeline of a request.

    :param lines: log lines of any number of hosts, in any order.
    :param request_id: ID of the request.
    :return: the timeline.
    """
    parsed = (parse_line(line) for line in lines)
    entries = sorted(
        (entry for entry in parsed if entry is not None),
        key=lambda entry: entry.at,
    )
    timeline = RequestTimeline(
        [
            entry
            for entry in entries
            if entry.facts.get('request_id') == request_id
        ]
    )
    if not timeline.entries:
        return timeline
    hosts = {entry.entry_host for entry in timeline.entries}
    before = [
        entry
        for entry in entries
        if entry.entry_host in hosts and entry.at <= timeline.entries[-1].at
    ]
    timeline.circumstances = _find_impairments(before)
    timeline.verdict = _summarize(timeline)
    return timeline


def _find_impairments(entries: list[LogEntry]) -> list[LogEntry]:
    active: dict[tuple[str, str], LogEntry] = {}
    for entry in entries:
        if entry.event == 'started':
            # A new process starts without impairments.
            for known in _IMPAIRMENTS:
                active.pop((entry.entry_host, known), None)
        if entry.event in _IMPAIRMENTS:
            active[entry.entry_host, entry.event] = entry
        for impairment, end in _IMPAIRMENTS.items():
            if entry.event == end:
                active.pop((entry.entry_host, impairment), None)
    return list(active.values())


def _list_outcomes(timeline: RequestTimeline, event: str, target: str) -> str:
    return ', '.join(
        f'{entry.facts.get(target)}: {entry.facts.get("outcome")}'
        for entry in timeline.entries
        if entry.event == event
    )


def _summarize(timeline: RequestTimeline) -> str:
    last = timeline.entries[-1]
    sent = _list_outcomes(timeline, 'attempt', 'backend')
    relayed = _list_outcomes(timeline, 'relayed', 'host')
    tried = f'; sent to {sent}' if sent else '; sent nowhere'
    if relayed:
        tried = f'{tried}; relayed to {relayed}'
    match last.event:
        case 'refused':
            reason = last.facts.get('reason')
            ran = last.facts.get('ran')
            detail = last.facts.get('detail')
            return f'refused as {reason} (ran: {ran}), {detail}{tried}'
        case 'request-ended':
            return f'ended as {last.facts.get("outcome")}{tried}'
    return f'the end of the request is not logged{tried}'
