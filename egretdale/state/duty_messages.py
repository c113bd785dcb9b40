"""Messages to the host that holds the duties.

Classes and fields are bound by name to the definitions in ``peer.thrift``.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class UsageCount:
    """Requests of one organisation that a host has begun in one window.

    :ivar window: number of the window.
    :ivar organisation: organisation of the callers.
    :ivar count: requests since the start of the window or of the host.
    """

    window: int
    organisation: str
    count: int = 0


@dataclass(slots=True)
class ServiceLoad:
    """What one host sends to the backend servers of a service.

    :ivar service_name: name of the service.
    :ivar data_centre: data centre of the backend servers, empty for what
        waits for any of them.
    :ivar running: requests at backend servers.
    :ivar waiting: requests that wait for one.
    :ivar begun: requests that began since the host started.
    :ivar refused: requests that were refused since it started.
    :ivar prompt_tokens: prompt tokens of those that began.
    """

    service_name: str
    data_centre: str = ''
    running: int = 0
    waiting: int = 0
    begun: int = 0
    refused: int = 0
    prompt_tokens: int = 0
