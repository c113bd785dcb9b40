"""Objects through which a forwarding host reaches the outside."""

from __future__ import annotations

import random
from dataclasses import dataclass

from egretdale.coordination.configuration import RoutingDecoder
from egretdale.coordination.duty_calls import DutySender
from egretdale.coordination.exchanges import ForwardClient
from egretdale.coordination.instances import InstanceDecoder
from egretdale.coordination.ports import Network, Platform
from egretdale.util.clocks import Clock, WallClock


@dataclass(slots=True, frozen=True)
class GatewayDependencies:
    """Injected objects through which a forwarding host reaches the outside.

    :ivar platform: object API.
    :ivar network: client of the peers.
    :ivar client: client of the backend servers.
    :ivar clock: monotonic clock that also runs while the host is suspended.
    :ivar wall_clock: wall clock.
    :ivar source: random source.
    :ivar decode_routing: decodes the routing configuration.
    :ivar decode_instance: decodes the entry of a backend server.
    :ivar duty_sender: sends the calls that one host makes on behalf of all,
        ``None`` if there are none.
    """

    platform: Platform
    network: Network
    client: ForwardClient
    clock: Clock
    wall_clock: WallClock
    source: random.Random
    decode_routing: RoutingDecoder
    decode_instance: InstanceDecoder
    duty_sender: DutySender | None = None
