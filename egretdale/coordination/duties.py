"""The duties that one host performs on behalf of all."""

from __future__ import annotations

import eventlet

from egretdale.coordination.duty_calls import Duty
from egretdale.coordination.duty_lease import DutyLease
from egretdale.state.members import MemberStatus, MemberTable, find_owner
from egretdale.util.clocks import Clock
from egretdale.util.tasks import TaskGroup

#: Name of the lease, and key by which the membership ranks hosts for it.
DUTIES = 'duties'

#: Seconds between two looks at who should hold the lease.
_CHECK_S = 0.2
#: Seconds between two attempts to take the lease.
_POLL_S = 0.5
#: Renewals in a lifetime of the lease.
_RENEWALS = 3
#: Seconds in which a call to the platform's store ends.
_STORE_CALL_S = 1.5


class DutyTerm:
    """One term of a holder, as a duty sees it.

    :ivar holder: name of the host that holds the duties.
    :ivar token: fencing token of the term.
    """

    __slots__ = ('_duties', 'holder', 'token')

    def __init__(self, duties: DutyHolder, token: int) -> None:
        """Create the view of a term.

        :param duties: holder of the lease.
        :param token: fencing token of the term.
        """
        self.holder = duties.host
        self.token = token
        self._duties = duties

    def may_call(self) -> bool:
        """Tell whether a call that is sent now ends before the lease does."""
        return self._duties.may_call(self.token)


class DutyHolder:
    """Holds the lease while this host is the preferred one, and acts on it.

    The membership names one host, so that others need not ask the platform;
    the lease decides between hosts that disagree.

    :ivar host: name of this host.
    """

    __slots__ = (
        '_call_timeout_s',
        '_clock',
        '_duties',
        '_lease',
        '_lifetime_s',
        '_next_at',
        '_performing',
        '_stopping',
        '_table',
        'host',
    )

    def __init__(
        self,
        table: MemberTable,
        lease: DutyLease,
        *,
        clock: Clock,
        lifetime_s: float,
        call_timeout_s: float,
    ) -> None:
        """Create a holder without duties.

        :param table: view of the entry hosts.
        :param lease: the lease.
        :param clock: clock of the lease.
        :param lifetime_s: lifetime of the lease in seconds.
        :param call_timeout_s: longest duration of a duty's call in seconds.
        """
        self.host = table.own_host
        self._table = table
        self._lease = lease
        self._clock = clock
        self._lifetime_s = lifetime_s
        self._call_timeout_s = call_timeout_s
        self._duties: list[Duty] = []
        self._performing = 0
        self._stopping = False
        self._next_at = clock()

    def add(self, duty: Duty) -> None:
        """Add a duty before the tasks are started.

        :param duty: the duty.
        """
        self._duties.append(duty)

    def start(self, tasks: TaskGroup) -> None:
        """Start the tasks.

        :param tasks: task group to start them in.
        """
        tasks.start(self.run)
        for duty in self._duties:
            tasks.start(self.run_duty, duty)

    def read_token(self) -> int:
        """Return the fencing token of this host's term, 0 without one."""
        return self._lease.token

    def may_call(self, token: int) -> bool:
        """Tell whether a call of a term that is sent now ends in time.

        :param token: fencing token of the term.
        """
        if self._stopping or token != self._lease.token:
            return False
        return self._lease.is_held(self._call_timeout_s)

    def run(self) -> None:
        """Hold the lease without end while this host is the preferred one."""
        while True:
            self.step()
            eventlet.sleep(_CHECK_S)

    def run_duty(self, duty: Duty) -> None:
        """Perform a duty without end while this host holds the lease.

        :param duty: the duty.
        """
        while True:
            token = self._lease.token
            if token and self.may_call(token):
                self._performing += 1
                try:
                    duty.perform(DutyTerm(self, token))
                finally:
                    self._performing -= 1
            eventlet.sleep(duty.period_s)

    def step(self) -> None:
        """Take, renew or hand over the lease if that is due."""
        if not self._is_preferred():
            if self._lease.token:
                self._hand_over()
            return
        now = self._clock()
        if now < self._next_at and not self._has_lapsed():
            return
        held = self._lease.renew()
        period_s = self._lifetime_s / _RENEWALS if held else _POLL_S
        self._next_at = now + period_s

    def _has_lapsed(self) -> bool:
        return bool(self._lease.token) and not self._lease.is_held()

    def _is_preferred(self) -> bool:
        own = self._table.find(self.host)
        if own is None or own.status != MemberStatus.ALIVE:
            return False
        return find_owner(self._table, DUTIES) == self.host

    def _hand_over(self) -> None:
        """Release the lease once no call is running any more."""
        self._stopping = True
        limit_at = self._clock() + self._call_timeout_s + _STORE_CALL_S
        while self._performing and self._clock() < limit_at:
            eventlet.sleep(_CHECK_S / 4)
        if self._performing:
            # The lease ends by itself, after the call.
            self._lease.end_term('left')
        else:
            self._lease.release()
        self._stopping = False
