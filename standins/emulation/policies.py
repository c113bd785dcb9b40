"""Scheduling policies for prompts: the product and its baselines."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from egretdale.coordination.exchanges import Prompt
from egretdale.coordination.backend_choice import BackendChoice, BackendChooser
from egretdale.coordination.selection import ChooserFactory
from egretdale.state.instances import Instance
from egretdale.state.messages import Ask
from egretdale.state.speeds import PrefillSample, ServiceSpeed, SpeedTable
from egretdale.util.clocks import Clock
from egretdale.util.hashing import rank_by_rendezvous
from standins.emulation.engines import FIRST_EVENT_DELAY_S
from standins.models.batches import BatchProfile

#: An engine is preferred up to this multiple of the mean number of running
#: requests, plus a constant.
_BOUND_FACTOR = 1.5
_BOUND_REQUESTS = 2


class KnownSpeed(ServiceSpeed):
    """The true speed of engines."""

    __slots__ = ()

    def __init__(self, profile: BatchProfile) -> None:
        """Compute the speed.

        :param profile: speed and limits of the engines.
        """
        super().__init__()
        step_s = profile.chunk / profile.prefill_rate + profile.step_s
        self._token_s = step_s / profile.chunk
        self.floor_s = FIRST_EVENT_DELAY_S + profile.step_s

    def learn(self, sample: PrefillSample) -> None:
        """Ignore a measured time.

        :param sample: the measured time.
        """


class KnownSpeedTable(SpeedTable):
    """The true speeds of all engines."""

    __slots__ = ('_known',)

    def __init__(self, clock: Clock, profile: BatchProfile) -> None:
        """Create the table.

        :param clock: monotonic clock.
        :param profile: speed and limits of the engines.
        """
        super().__init__(clock)
        self._known = KnownSpeed(profile)

    def find_service(self, service: str) -> ServiceSpeed:
        """Return the true speed of the engines of a service.

        :param service: service name.
        """
        return self._known


class NoPrefillClient:
    """Asks no allocator, so that each host chooses engines by itself."""

    def request_engine(self, service: str, ask: Ask) -> None:
        """Return no engine.

        :param service: service name.
        :param ask: the request.
        """

    def note_first_token(self, request_id: str, first_token_ms: int) -> None:
        """Ignore the time to the first token.

        :param request_id: identity of the request.
        :param first_token_ms: milliseconds to the first token.
        """

    def note_end(self, request_id: str, *, rejected: bool = False) -> None:
        """Ignore the end of a request.

        :param request_id: identity of the request.
        :param rejected: whether the engine rejected it.
        """


class LeastConnectionsChooser(BackendChooser):
    """Chooses the engine that runs the fewest requests of this host."""

    __slots__ = ()

    def choose(
        self,
        service: str,
        prompt: Prompt,
        avoided: Collection[str],
        *,
        spread_key: str,
        software_version: str = '',
    ) -> BackendChoice | None:
        """Choose an engine, or return ``None`` if none is usable."""
        unusable = {*avoided, *self.list_suspended(service)}
        usable = {
            entry.name: entry
            for entry in self._instances.list_ready(service)
            if entry.name not in unusable
            and entry.runs_version(software_version)
        }
        if not usable:
            return None
        counts = {name: self._count(entry) for name, entry in usable.items()}
        chosen = self._choose(counts, prompt, spread_key)
        return BackendChoice(usable[chosen], prompt.tokens)

    def _choose(
        self, counts: Mapping[str, int], prompt: Prompt, spread_key: str
    ) -> str:
        ranked = rank_by_rendezvous(spread_key, counts)
        return min(ranked, key=counts.__getitem__)

    def _count(self, instance: Instance) -> int:
        return self._loads.find(instance.incarnation).running


class PartChooser(LeastConnectionsChooser):
    """Hashes a shared part to an engine, with a bound on the engine's load."""

    __slots__ = ()

    def _choose(
        self, counts: Mapping[str, int], prompt: Prompt, spread_key: str
    ) -> str:
        part = prompt.find_affinity()
        key = spread_key if part is None else str(part.identity)
        mean = sum(counts.values()) / len(counts)
        bound = mean * _BOUND_FACTOR + _BOUND_REQUESTS
        ranked = rank_by_rendezvous(key, counts)
        return next(name for name in ranked if counts[name] <= bound)


@dataclass(slots=True, frozen=True)
class Policy:
    """A scheduling policy.

    :ivar create_chooser: creates the chooser of a host.
    :ivar uses_allocator: whether one allocator decides for all hosts.
    :ivar uses_urgency: whether engines are told the priority of a request.
    :ivar knows_speed: whether the allocator is told the speed of the engines.
    """

    create_chooser: ChooserFactory
    uses_allocator: bool = False
    uses_urgency: bool = False
    knows_speed: bool = False


#: Policies by name. ``informed`` is the product with known engines, ``alone``
#: without its allocator; ``parts`` routes by shared part with bounded load.
PROMPT_POLICIES = MappingProxyType(
    {
        'product': Policy(
            BackendChooser, uses_allocator=True, uses_urgency=True
        ),
        'informed': Policy(
            BackendChooser,
            uses_allocator=True,
            uses_urgency=True,
            knows_speed=True,
        ),
        'alone': Policy(BackendChooser, uses_urgency=True),
        'parts': Policy(PartChooser),
        'least-connections': Policy(LeastConnectionsChooser),
    }
)
