"""Reports the usage of each window to the platform."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from egretdale.coordination.duty_calls import (
    DutyOutcome,
    DutySender,
    Fence,
    UsageReport,
)
from egretdale.coordination.ports import (
    ABSENT,
    Platform,
    Position,
    StoredObject,
    Written,
)
from egretdale.coordination.true_time import TrueTime
from egretdale.coordination.usage import UsageCollector
from egretdale.errors import Invalid, Missing, Unreachable
from egretdale.util.clocks import Clock
from egretdale.util.json_text import decode_json
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Kind and name of the object that holds the last report.
REPORT_KIND = 'usage'
REPORT_NAME = 'last'

#: Seconds between two looks at what is due.
_PERIOD_S = 0.25
#: Seconds after a window's end at which its counts are fixed.
_COUNTING_S = 2.0
#: Seconds in which all hosts have sent their counts to a new holder.
_COLLECTING_S = 1.7
#: Shortest and longest pause in seconds after a failed call.
_MINIMUM_PAUSE_S = 0.3
_MAXIMUM_PAUSE_S = 2.0
#: Seconds by which the times of two hosts may differ.
_CLOCK_MARGIN_S = 1.0
#: Reports that are remembered beside the stored one.
_REMEMBERED = 8


class StoredReport(msgspec.Struct, frozen=True):
    """The last report, as it is kept in the platform.

    :ivar window: number of the window.
    :ivar counts: requests by organisation.
    :ivar era: era of the platform before it was written.
    """

    window: int
    counts: dict[str, int]
    era: int = 0


@dataclass(slots=True, frozen=True)
class WindowTimes:
    """When usage is due.

    :ivar window_s: length of a window in seconds.
    :ivar late_s: seconds after a window's end until which its report is of
        use.
    """

    window_s: float
    late_s: float


class UsageReporter:
    """Reports each window once, or exactly again.

    The counts of a window are stored before its report is sent, so that any
    later holder repeats exactly these.

    :ivar name: name of the duty.
    :ivar period_s: seconds between two rounds.
    :ivar reported: windows whose report was accepted.
    :ivar missed: windows that were left out or given up.
    """

    __slots__ = (
        '_clock',
        '_collector',
        '_count_call',
        '_done',
        '_era',
        '_era_at',
        '_held_since',
        '_known',
        '_late_s',
        '_pause_s',
        '_platform',
        '_position',
        '_retry_at',
        '_sender',
        '_stored',
        '_token',
        '_true_time',
        '_window_s',
        'missed',
        'name',
        'period_s',
        'reported',
    )

    def __init__(
        self,
        collector: UsageCollector,
        sender: DutySender,
        platform: Platform,
        true_time: TrueTime,
        *,
        clock: Clock,
        windows: WindowTimes,
        count_call: Callable[[str, str], None],
    ) -> None:
        """Create a reporter that has reported nothing.

        :param collector: counts of all hosts.
        :param sender: sends the reports.
        :param platform: object API that stores the last report.
        :param true_time: time of day.
        :param clock: monotonic clock.
        :param windows: length of a window, and when its report is due.
        :param count_call: called with the duty and the outcome of each call.
        """
        self.name = 'usage'
        self.period_s = _PERIOD_S
        self.reported = 0
        self.missed = 0
        self._collector = collector
        self._sender = sender
        self._platform = platform
        self._true_time = true_time
        self._clock = clock
        self._window_s = windows.window_s
        self._late_s = windows.late_s
        self._count_call = count_call
        self._token = 0
        self._held_since = clock()
        # Position of the stored report, ``None`` if it has to be read.
        self._position: Position | None = None
        self._stored: StoredReport | None = None
        # Last window that needs no further call.
        self._done = -1
        self._known: dict[int, dict[str, int]] = {}
        self._era = -1
        self._era_at = float(0)
        self._retry_at = clock()
        self._pause_s = _MINIMUM_PAUSE_S

    def perform(self, fence: Fence) -> None:
        """Send or fix the next report if it is due.

        :param fence: term in which it is sent.
        """
        if fence.token != self._token:
            self._token = fence.token
            self._held_since = self._clock()
            self._position = None
        if self._platform.era != self._era:
            self._era = self._platform.era
            self._era_at = self._true_time.read()
            self._position = None
        if self._clock() < self._retry_at:
            return
        if self._position is None and not self._read():
            self._delay()
            return
        if self._stored is not None and self._stored.window > self._done:
            self._send(self._stored, fence)
            return
        window = self._find_next()
        if window is not None and self._fix(window):
            self._send(self._stored, fence)

    def _read(self) -> bool:
        stored = self._platform.read(REPORT_KIND, REPORT_NAME)
        match stored:
            case Unreachable():
                return False
            case Missing():
                self._position = ABSENT
                self._stored = None
            case StoredObject():
                self._position = stored.position
                self._stored = self._decode(stored)
        return True

    def _decode(self, stored: StoredObject) -> StoredReport | None:
        report = decode_json(stored.body, StoredReport)
        if isinstance(report, Invalid):
            logger.warning('usage-malformed', detail=report.message)
            return None
        self._remember(report)
        return report

    def _find_next(self) -> int | None:
        """Find the window whose counts have to be fixed now."""
        if self._clock() < self._held_since + _COLLECTING_S:
            return None
        now = self._true_time.read()
        # Those before are of no use any more.
        first = int((now - self._late_s) // self._window_s)
        last = int((now - _COUNTING_S) // self._window_s) - 1
        if self._stored is not None:
            self._skip(self._stored.window + 1, first)
            first = max(first, self._stored.window + 1)
        windows = range(first, last + 1)
        return next(filter(self._is_open, windows), None)

    def _is_open(self, window: int) -> bool:
        """Tell whether the counts of a window that is over have to be fixed.

        :param window: number of the window.
        """
        if window <= self._done or self._may_be_lost(window):
            return False
        # Before the first report there may have been no traffic yet.
        has_begun = self._stored is not None
        return has_begun or bool(self._collector.sum_window(window))

    def _may_be_lost(self, window: int) -> bool:
        """Tell whether a restoration may have lost the report of a window.

        :param window: number of the window.
        """
        if window in self._known or self._era <= 1:
            return False
        if self._stored is not None and self._stored.era == self._era:
            return False
        fixed_at = (window + 1) * self._window_s + _COUNTING_S
        return fixed_at <= self._era_at + _CLOCK_MARGIN_S

    def _skip(self, window: int, first: int) -> None:
        if window < first and self._done < first - 1:
            self.missed += first - window
            logger.warning('usage-missed', window=window, until=first)
            self._done = first - 1

    def _fix(self, window: int) -> bool:
        counts = self._known.get(window)
        if counts is None:
            counts = self._collector.sum_window(window)
        report = StoredReport(window, counts, self._era)
        outcome = self._platform.write(
            REPORT_KIND,
            REPORT_NAME,
            msgspec.json.encode(report),
            self._position,
        )
        if not isinstance(outcome, Written):
            # What is stored now decides.
            self._position = None
            self._delay()
            return False
        self._position = outcome.position
        self._stored = report
        self._remember(report)
        return True

    def _remember(self, report: StoredReport) -> None:
        self._known[report.window] = report.counts
        while len(self._known) > _REMEMBERED:
            self._known.pop(next(iter(self._known)))
        self._collector.note_fixed(report.window)

    def _send(self, report: StoredReport, fence: Fence) -> None:
        end = (report.window + 1) * self._window_s
        late_s = self._true_time.read() - end
        if late_s > self._late_s + self._window_s:
            self._done = report.window
            self.missed += 1
            logger.warning('usage-missed', window=report.window)
            return
        outcome = self._sender.send_usage(
            UsageReport(report.window, report.counts), fence
        )
        self._count_call(self.name, outcome.value)
        if outcome == DutyOutcome.ACCEPTED:
            self._done = report.window
            self.reported += 1
            self._pause_s = _MINIMUM_PAUSE_S
            logger.info(
                'usage-report',
                window=report.window,
                token=fence.token,
                requests=sum(report.counts.values()),
                late_s=round(late_s, 2),
            )
            return
        logger.warning(
            'duty-call-failed',
            duty=self.name,
            window=report.window,
            outcome=outcome.value,
        )
        self._delay()

    def _delay(self) -> None:
        self._retry_at = self._clock() + self._pause_s
        self._pause_s = min(self._pause_s * 2, _MAXIMUM_PAUSE_S)
