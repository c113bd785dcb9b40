"""Decides which forwarded requests may run, by routes and keys."""

from __future__ import annotations

from dataclasses import dataclass

from egretdale.coordination.configuration import ConfigurationFollower
from egretdale.coordination.exchanges import ForwardRequest
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.state.routing import Route, RoutingTable, choose_service
from egretdale.util.clocks import Clock

#: When to come back to a host that has no configuration yet, in seconds.
_STARTING_RETRY_S = 1.0
#: When to come back to a host that cannot prove its keys, in seconds.
_STALE_RETRY_S = 0.5
_LOWEST_URGENCY = 9
#: Distance of the ranks of two organisations' priorities at a backend server,
#: above the routes' priorities between them.
_URGENCY_STEP = 3


@dataclass(slots=True, frozen=True)
class FreshnessLimits:
    """Ages up to which a configuration may be relied on.

    :ivar denial_s: greatest age at which a request is denied for a missing
        route or key, in seconds.
    :ivar key_s: greatest age at which a key is accepted, in seconds.
    """

    denial_s: float = 2.0
    key_s: float = 5.0


@dataclass(slots=True, frozen=True)
class AdmittedRequest:
    """A request that may run.

    :ivar request: the request.
    :ivar route: its route.
    :ivar organisation: organisation of the caller, empty for none.
    :ivar urgency: rank for backend servers, 0 is served first.
    :ivar revision: version of the configuration that decided.
    :ivar deadline_at: clock time at which the caller stops waiting.
    :ivar keyed: whether the decision rests on a key.
    """

    request: ForwardRequest
    route: Route
    organisation: str
    urgency: int
    revision: int
    deadline_at: float
    keyed: bool


class Admission:
    """Finds the route and the organisation of a request."""

    __slots__ = ('_clock', '_configuration', '_terms')

    def __init__(
        self,
        configuration: ConfigurationFollower,
        terms: FreshnessLimits,
        clock: Clock,
    ) -> None:
        """Create an admission.

        :param configuration: configuration in force.
        :param terms: ages up to which it may be relied on.
        :param clock: monotonic clock.
        """
        self._configuration = configuration
        self._terms = terms
        self._clock = clock

    def decide(self, request: ForwardRequest) -> AdmittedRequest | Refused:
        """Decide whether a request may run.

        :param request: the request.
        :return: the decision, or a refusal.
        """
        decision = self._decide(request)
        stale = (
            isinstance(decision, Refused)
            and decision.reason == Reason.CONFIGURATION_STALE
        )
        if stale and self._configuration.refresh():
            return self._decide(request)
        return decision

    def check_key_age(self, admitted: AdmittedRequest) -> Refused | None:
        """Tell whether the key of a request can no longer be relied on.

        :param admitted: the decision to run it.
        :return: a refusal, or ``None``.
        """
        if not admitted.keyed:
            return None
        age_s = self._configuration.confirmation.measure_age()
        if age_s <= self._terms.key_s:
            return None
        return _refuse_stale(f'keys were last confirmed {age_s:.2f} s ago')

    def choose_service(self, admitted: AdmittedRequest, point: float) -> str:
        """Choose the service that a request goes to.

        :param admitted: the decision to run it.
        :param point: random number from 0 up to 1.
        :return: service name, empty when the route has none.
        """
        return choose_service(admitted.route.services, point) or ''

    def measure_remaining_time(self, admitted: AdmittedRequest) -> float:
        """Measure how much time is left for an answer.

        :param admitted: the decision to run the request.
        :return: seconds.
        """
        return admitted.deadline_at - self._clock()

    def _decide(self, request: ForwardRequest) -> AdmittedRequest | Refused:
        table = self._configuration.table
        if table is None:
            return Refused(
                Reason.CONFIGURATION_STALE,
                Ran.NO,
                _STARTING_RETRY_S,
                'this host has no configuration yet',
            )
        route = table.find_route(request.host_name, request.path)
        if route is None:
            return self._deny(Reason.NO_ROUTE, 'no route has this path')
        admitted = self._admit(request, route, table)
        if isinstance(admitted, AdmittedRequest):
            return self.check_key_age(admitted) or admitted
        return admitted

    def _admit(
        self, request: ForwardRequest, route: Route, table: RoutingTable
    ) -> AdmittedRequest | Refused:
        organisation = ''
        urgency = route.priority
        holder = table.find_holder(request.key) if request.key else None
        keyed = table.requires_keys and not route.public
        if keyed and holder is None:
            return self._deny(Reason.UNKNOWN_KEY, 'the key is not known')
        if holder is not None:
            organisation = holder.name
            if holder.priority is not None:
                urgency += holder.priority * _URGENCY_STEP
        patience_s = route.timeout_s
        if request.patience_s is not None:
            patience_s = min(patience_s, request.patience_s)
        return AdmittedRequest(
            request,
            route,
            organisation,
            min(_LOWEST_URGENCY, urgency),
            table.version,
            request.arrived_at + patience_s,
            keyed,
        )

    def _deny(self, reason: Reason, detail: str) -> Refused:
        age_s = self._configuration.confirmation.measure_age()
        if age_s > self._terms.denial_s:
            return _refuse_stale(f'{detail}, as far as known {age_s:.2f} s ago')
        return Refused(reason, Ran.NO, detail=detail)


def _refuse_stale(detail: str) -> Refused:
    return Refused(Reason.CONFIGURATION_STALE, Ran.NO, _STALE_RETRY_S, detail)
