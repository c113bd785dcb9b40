"""Distinguishes crashes of backend servers from single broken connections."""

from __future__ import annotations

import eventlet

from egretdale.coordination.admission import AdmittedRequest
from egretdale.coordination.exchanges import ForwardClient
from egretdale.coordination.quarantine import RequestQuarantine
from egretdale.state.crash_records import CrashRecord
from egretdale.state.instances import Incarnation, Instance
from egretdale.util.clocks import Clock

#: Delay in seconds within which all responses of a crashed server break.
_GATHERING_S = 0.03
#: Seconds after the head of a response in which an engine begins to write it.
WRITING_S = 0.5
#: Requests of one host that are reported for a crash.
_REPORTED_REQUESTS = 8


class CrashDetector:
    """Reports the requests on whose responses crashed servers had begun."""

    __slots__ = ('_broken', '_client', '_clock', '_quarantine')

    def __init__(
        self,
        quarantine: RequestQuarantine,
        client: ForwardClient,
        clock: Clock,
    ) -> None:
        """Create a detector.

        :param quarantine: gets the reports.
        :param client: client of the backend servers.
        :param clock: monotonic clock.
        """
        self._quarantine = quarantine
        self._client = client
        self._clock = clock
        self._broken: dict[Incarnation, list[AdmittedRequest]] = {}

    def note_broken(
        self, instance: Instance, admitted: AdmittedRequest
    ) -> None:
        """Record that a response broke before or as it began.

        :param instance: backend server that sent it.
        :param admitted: the request.
        """
        broken = self._broken.setdefault(instance.incarnation, [])
        broken.append(admitted)
        if len(broken) == 1:
            eventlet.spawn_after(_GATHERING_S, self._check, instance)

    def note_written(self, admitted: AdmittedRequest, sent_at: float) -> None:
        """Record that a response was completed or went on for a while.

        :param admitted: the request.
        :param sent_at: clock time at which it was sent.
        """
        self._quarantine.report_run(admitted.fingerprints, sent_at)

    def _check(self, instance: Instance) -> None:
        broken = self._broken.pop(instance.incarnation)
        crashed_at = self._clock() - _GATHERING_S
        failure = self._client.test_connection(instance)
        if failure is None or not failure.is_refused:
            return
        # Those that were in progress at earlier crashes come last.
        broken.sort(key=self._is_suspected)
        for admitted in broken[-_REPORTED_REQUESTS:]:
            record = CrashRecord(
                instance.incarnation, crashed_at, admitted.fingerprints
            )
            self._quarantine.report_crash(record, admitted.request.request_id)

    def _is_suspected(self, admitted: AdmittedRequest) -> bool:
        return self._quarantine.history.is_suspected(admitted.fingerprint)
