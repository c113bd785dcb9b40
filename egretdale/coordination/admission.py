"""Admission of forwarded requests by route and API key."""

from __future__ import annotations

from dataclasses import dataclass

from egretdale.coordination.configuration import ConfigurationFollower
from egretdale.coordination.exchanges import ForwardRequest
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.state.routing import Route, RoutingTable, choose_service
from egretdale.util.clocks import Clock
from egretdale.util.hashing import fold_identity, hash_fields

#: Retry time in seconds while this host has no configuration yet.
_STARTING_RETRY_S = 1.0
#: Retry time in seconds while the configuration is too old to rely on.
_STALE_RETRY_S = 0.5
_LOWEST_URGENCY = 9
#: Parts of a prompt that are fingerprints, the last ones.
_MAXIMUM_PARTS = 16
#: Urgency ranks for each step of an organisation's priority; route priorities
#: below it only rank requests within a step.
_URGENCY_STEP = 3


@dataclass(slots=True, frozen=True)
class FreshnessLimits:
    """Maximum ages of a configuration, since it was last confirmed.

    :ivar denial_s: maximum age in seconds at which a request is denied for a
        missing route or key.
    :ivar key_s: maximum age in seconds at which a key is accepted.
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
    :ivar revision: version of the configuration that was applied.
    :ivar deadline_at: clock time at which the caller stops waiting.
    :ivar keyed: whether its route required a key.
    :ivar fingerprints: hashes of what it has in common with other requests:
        parts of its prompt but the last, 16 at most, and, as the last one, its
        method, host name, target, body and organisation together.
    """

    request: ForwardRequest
    route: Route
    organisation: str
    urgency: int
    revision: int
    deadline_at: float
    keyed: bool
    fingerprints: tuple[int, ...]

    @property
    def fingerprint(self) -> int:
        """Fingerprint that only repetitions of the request have too."""
        return self.fingerprints[-1]


class Admission:
    """Admits requests that have a route and, where required, a known key."""

    __slots__ = ('_clock', '_configuration', '_limits')

    def __init__(
        self,
        configuration: ConfigurationFollower,
        limits: FreshnessLimits,
        clock: Clock,
    ) -> None:
        """Create an admission.

        :param configuration: configuration in force.
        :param limits: maximum ages of the configuration.
        :param clock: monotonic clock.
        """
        self._configuration = configuration
        self._limits = limits
        self._clock = clock

    def decide(self, request: ForwardRequest) -> AdmittedRequest | Refused:
        """Decide whether a request may run.

        A request that is refused because the configuration is too old is
        decided on again if the configuration can be refreshed at once.

        :param request: the request.
        :return: the admitted request, or a refusal.
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
        """Check that the key of a request was confirmed recently.

        :param admitted: the admitted request.
        :return: a refusal if it was not, otherwise ``None``.
        """
        if not admitted.keyed:
            return None
        age_s = self._configuration.confirmation.measure_age()
        if age_s <= self._limits.key_s:
            return None
        return _refuse_stale(f'keys were last confirmed {age_s:.2f} s ago')

    def choose_service(self, admitted: AdmittedRequest, point: float) -> str:
        """Choose the service that a request goes to, by the route's weights.

        :param admitted: the admitted request.
        :param point: random number from 0 up to 1.
        :return: service name, empty when the route has none.
        """
        return choose_service(admitted.route.services, point) or ''

    def measure_remaining_time(self, admitted: AdmittedRequest) -> float:
        """Measure the time until the deadline of a request.

        :param admitted: the admitted request.
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
            return self._deny(Reason.NO_ROUTE, 'no route matches this path')
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
            _list_fingerprints(request, organisation),
        )

    def _deny(self, reason: Reason, detail: str) -> Refused:
        age_s = self._configuration.confirmation.measure_age()
        if age_s > self._limits.denial_s:
            return _refuse_stale(
                f'{detail} in the configuration confirmed {age_s:.2f} s ago'
            )
        return Refused(reason, Ran.NO, detail=detail)


def _refuse_stale(detail: str) -> Refused:
    return Refused(Reason.CONFIGURATION_STALE, Ran.NO, _STALE_RETRY_S, detail)


def _list_fingerprints(
    request: ForwardRequest, organisation: str
) -> tuple[int, ...]:
    # Keys of an organisation may change between repetitions.
    texts = (request.method, request.host_name, request.target, organisation)
    shared = request.prompt.parts[-_MAXIMUM_PARTS - 1 : -1]
    return (
        *(fold_identity(part.identity) for part in shared),
        hash_fields(*(text.encode() for text in texts), request.body),
    )
