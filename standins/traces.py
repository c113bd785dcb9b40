"""Recorded traces with arrivals, timed faults and targets."""

from __future__ import annotations

from pathlib import Path

import msgspec

FOLDER = Path(__file__).resolve().parent.parent / 'traces'


class Targets(msgspec.Struct, frozen=True, kw_only=True):
    """The targets that a replay of a trace must meet.

    :ivar attainment: minimum fraction of requests, by class, that are answered
        completely with their first token in time.
    :ivar served_within_s: maximum time in seconds, by class, for which
        requests wait while none of the class is served.
    :ivar goodput: minimum work delivered, as a fraction of the work that the
        engines could have delivered.
    :ivar wasted: maximum fraction of the generated tokens that are not part
        of a complete response.
    """

    attainment: dict[str, float] = {}
    served_within_s: dict[str, float] = {}
    goodput: float = float(0)
    wasted: float = 1.0


class TraceHead(msgspec.Struct, frozen=True, kw_only=True):
    """The first line of a trace.

    :ivar name: name of the trace.
    :ivar about: description of the trace.
    :ivar service: service of all requests.
    :ivar document: file of the service's document, below ``examples``.
    :ivar engines: number of engines.
    :ivar hosts: number of entry hosts.
    :ivar stated: targets of the trace.
    """

    name: str
    about: str
    service: str
    document: str
    engines: int
    hosts: int
    stated: Targets


class Arrival(msgspec.Struct, frozen=True, tag='request', tag_field='kind'):
    """The arrival of a request.

    :ivar at: seconds since the start.
    :ivar class_name: class of the request.
    :ivar organisation: organisation of the caller.
    :ivar prompt: tokens of the prompt.
    :ivar output: tokens of the output.
    :ivar prefix: identifier of its shared prefix, 0 for none.
    """

    at: float
    class_name: str
    organisation: str
    prompt: int
    output: int
    prefix: int = 0


class Fault(msgspec.Struct, frozen=True, tag='fault', tag_field='kind'):
    """The start or end of a fault.

    :ivar at: seconds since the start.
    :ivar name: ``speed``, ``crash``, ``restart``, ``lag``, ``lie``,
        ``kill-allocator``, ``kill-host``, ``start-host``, ``platform-down``.
    :ivar target: number of the engine or host; unused for the allocator.
    :ivar amount: speed factor, lag in seconds, or 1 for on and 0 for off.
    """

    at: float
    name: str
    target: int = 0
    amount: float = float(0)


class Trace(msgspec.Struct, frozen=True):
    """A trace.

    :ivar head: its first line.
    :ivar events: arrivals and faults in chronological order.
    """

    head: TraceHead
    events: tuple[Arrival | Fault, ...]


def list_traces() -> list[str]:
    """List the names of the recorded traces."""
    return sorted(path.stem for path in FOLDER.glob('*.jsonl'))


def load_trace(name: str) -> Trace:
    """Read a trace.

    :param name: name of the trace.
    :return: the trace.
    """
    lines = (FOLDER / f'{name}.jsonl').read_bytes().splitlines()
    head = msgspec.json.decode(lines[0], type=TraceHead)
    decoder: msgspec.json.Decoder[Arrival | Fault] = msgspec.json.Decoder(
        Arrival | Fault
    )
    events = tuple(decoder.decode(line) for line in lines[1:])
    return Trace(head, events)


def save_trace(trace: Trace) -> None:
    """Write a trace.

    :param trace: the trace.
    """
    lines = [msgspec.json.encode(trace.head)]
    lines += [msgspec.json.encode(event) for event in trace.events]
    FOLDER.mkdir(exist_ok=True)
    path = FOLDER / f'{trace.head.name}.jsonl'
    path.write_bytes(b'\n'.join([*lines, b'']))
