"""State of a forwarded request."""

from __future__ import annotations

from dataclasses import dataclass, field

from egretdale.coordination.admission import AdmittedRequest
from egretdale.coordination.backend_choice import BackendChoice
from egretdale.coordination.exchanges import BackendIdentity, ForwardResponse
from egretdale.state.event_streams import continues_stream
from egretdale.state.instances import Instance


@dataclass(slots=True)
class Progress:
    """State of a request that is being forwarded.

    :ivar admitted: the admitted request.
    :ivar service: service that the request is sent to.
    :ivar avoided: names of the backend servers that were tried.
    :ivar hanging: backend servers among them to which connections hung.
    :ivar sent: number of backend servers that the request was sent to, without
        unreachable ones.
    :ivar may_have_run: whether a backend server may have run the request.
    :ivar software_version: version of the backend servers at which it may run,
        empty for any.
    """

    admitted: AdmittedRequest
    service: str
    avoided: list[str] = field(default_factory=list)
    hanging: list[Instance] = field(default_factory=list)
    sent: int = 0
    may_have_run: bool = False
    software_version: str = ''


@dataclass(slots=True)
class OpenedResponse:
    """A response that is ready to be relayed.

    :ivar response: the response.
    :ivar choice: backend server that sends it.
    :ivar sent_at: clock time at which the request was sent.
    :ivar opened_at: clock time at which its head had been read.
    :ivar is_written: whether it went on for longer than engines take to crash
        because of a request.
    """

    response: ForwardResponse
    choice: BackendChoice
    sent_at: float
    opened_at: float
    is_written: bool = False

    def continues(self, broken: OpenedResponse) -> bool:
        """Tell whether the response can go on where another one broke off.

        :param broken: the other response, the beginning of a stream.
        """
        return continues_stream(self.response, broken.response)

    def identify_backend(self) -> BackendIdentity:
        """Identify the backend server to another host."""
        instance = self.choice.instance
        return BackendIdentity(
            instance.service, instance.name, instance.born_ms
        )
