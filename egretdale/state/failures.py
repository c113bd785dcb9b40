"""Causes of requests that were not served, from the log lines of all hosts."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from egretdale.state.timelines import LogEntry, parse_line

_SERVER_ERROR = 500
#: Events that end a request.
_ENDS = frozenset(('refused', 'request-ended'))
_ANSWERED = 'answered'
_CALLER_GONE = 'caller-gone'
_DEADLINE_PASSED = 'deadline-passed'
_NOT_RUN = 'no'


@dataclass(slots=True)
class RequestEnd:
    """How a request ended.

    :ivar end: its last log line that tells its end, ``None`` without one.
    :ivar attempts: log lines of its attempts.
    :ivar broken: whether a backend server broke a response off.
    """

    end: LogEntry | None = None
    attempts: list[LogEntry] = field(default_factory=list)
    broken: bool = False

    @property
    def service(self) -> str:
        """Service that the request was sent to, empty if it was not."""
        if not self.attempts:
            return ''
        return str(self.attempts[-1].facts.get('service', ''))

    def find_cause(self) -> str:
        """Return why the request was not served, empty if it was served."""
        if self.end is None:
            return ''
        if self.end.event == 'refused':
            return self._explain_refusal(self.end)
        outcome = str(self.end.facts.get('outcome'))
        if outcome == _ANSWERED:
            return self._explain_answer()
        if self.broken:
            return 'response broken midway and not resumed'
        if outcome == _CALLER_GONE:
            return 'caller gone'
        return 'response broken midway'

    def _explain_answer(self) -> str:
        status = self._get_last_outcome()
        if status.isdecimal() and int(status) >= _SERVER_ERROR:
            return f'error {status} of the backend server'
        return ''

    def _explain_refusal(self, end: LogEntry) -> str:
        reason = str(end.facts.get('reason'))
        detail = str(end.facts.get('detail')).partition(':')[0]
        if reason == _DEADLINE_PASSED:
            waiting = end.facts.get('ran') == _NOT_RUN
            place = 'while waiting' if waiting else 'at a backend server'
            return f'{reason} {place}'
        if not self.attempts:
            return reason
        tried = f' after {self._get_last_outcome()}'
        return f'{reason}: {detail}{tried}'

    def _get_last_outcome(self) -> str:
        return str(self.attempts[-1].facts.get('outcome', ''))


def count_failures(lines: Iterable[str]) -> Counter[tuple[str, str]]:
    """Count the requests that were not served.

    :param lines: log lines of any number of hosts, in the order of time for
        each request.
    :return: number of requests by service and cause.
    """
    requests: dict[str, RequestEnd] = {}
    for line in lines:
        entry = parse_line(line)
        if entry is not None and 'request_id' in entry.facts:
            request_id = str(entry.facts['request_id'])
            _note(requests.setdefault(request_id, RequestEnd()), entry)
    return Counter(
        (request.service, cause)
        for request in requests.values()
        if (cause := request.find_cause())
    )


def _note(request: RequestEnd, entry: LogEntry) -> None:
    if entry.event in _ENDS:
        # A host that has relayed a request answers it with the refusal of the
        # other host.
        if request.end is None or request.end.event != 'refused':
            request.end = entry
    elif entry.event == 'attempt':
        request.attempts.append(entry)
    elif entry.event == 'answer-broken':
        request.broken = True
