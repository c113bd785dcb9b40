"""Requests of one host by service and by data centre of the engines."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from egretdale.state.instances import Instance
from egretdale.state.duty_messages import ServiceLoad


class ServiceActivity:
    """Counts the requests of this host.

    Requests that wait for an engine are counted under an empty data centre.
    For a data centre, those count as waiting that wait at an engine for their
    first token.
    """

    __slots__ = ('_loads',)

    def __init__(self) -> None:
        """Start without requests."""
        self._loads: dict[tuple[str, str], ServiceLoad] = {}

    def list_loads(self, services: Iterable[str]) -> list[ServiceLoad]:
        """List the loads of services.

        :param services: names of the services.
        :return: their loads by data centre.
        """
        wanted = set(services)
        return [
            load for load in self._loads.values() if load.service_name in wanted
        ]

    @contextmanager
    def wait(self, service: str) -> Iterator[None]:
        """Count a request as waiting for an engine.

        :param service: service name.
        """
        load = self._find(service, '')
        load.waiting += 1
        try:
            yield
        finally:
            load.waiting -= 1

    def note_refused(self, service: str) -> None:
        """Count a request that was refused for lack of engines.

        :param service: service name.
        """
        self._find(service, '').refused += 1

    def note_sent(self, instance: Instance, prefill_tokens: int) -> None:
        """Count a request that is sent to an engine.

        :param instance: the engine.
        :param prefill_tokens: prompt tokens that it has to prefill.
        """
        load = self._find(instance.service, instance.data_centre)
        load.running += 1
        load.begun += 1
        load.prompt_tokens += prefill_tokens
        load.waiting += bool(prefill_tokens)

    def note_head(self, instance: Instance, prefill_tokens: int) -> None:
        """Record that the response to a request has begun, or never will.

        :param instance: the engine.
        :param prefill_tokens: as in :meth:`note_sent`.
        """
        load = self._find(instance.service, instance.data_centre)
        load.waiting -= bool(prefill_tokens)

    def note_end(self, instance: Instance) -> None:
        """Record that a request no longer runs.

        :param instance: the engine.
        """
        self._find(instance.service, instance.data_centre).running -= 1

    def _find(self, service: str, data_centre: str) -> ServiceLoad:
        key = (service, data_centre)
        load = self._loads.get(key)
        if load is None:
            load = ServiceLoad(service, data_centre)
            self._loads[key] = load
        return load
