"""Recorded traces: arrivals, timed faults and stated outcomes."""

from __future__ import annotations

from pathlib import Path

import msgspec

FOLDER = Path(__file__).resolve().parent.parent / 'traces'


class Targets(msgspec.Struct, frozen=True, kw_only=True):
    """The outcomes that a trace must have.

    :ivar attainment: least part of each class that meets its target.
    :ivar served_within_s: longest time in which a class with demand is not
        served at all.
    :ivar goodput: least part of what the engines could have delivered.
    :ivar wasted: largest part of generated tokens that reached no caller.
    """

    attainment: dict[str, float] = {}
    served_within_s: dict[str, float] = {}
    goodput: float = float(0)
    wasted: float = 1.0


class TraceHead(msgspec.Struct, frozen=True, kw_only=True):
    """The first line of a trace.

    :ivar name: name of the trace.
    :ivar about: what happens in it.
    :ivar service: service that all requests go to.
    :ivar document: file of the service's document, below ``examples``.
    :ivar engines: number of engines.
    :ivar hosts: number of entry hosts.
    :ivar stated: outcomes that it must have.
    """

    name: str
    about: str
    service: str
    document: str
    engines: int
    hosts: int
    stated: Targets


class Arrival(msgspec.Struct, frozen=True, tag='request', tag_field='kind'):
    """A request that arrives.

    :ivar at: seconds since the start.
    :ivar class_name: class of the request.
    :ivar organisation: organisation of the caller.
    :ivar prompt: tokens of the prompt.
    :ivar output: tokens of the output.
    :ivar prefix: number of its shared prefix, 0 for none.
    """

    at: float
    class_name: str
    organisation: str
    prompt: int
    output: int
    prefix: int = 0


class Fault(msgspec.Struct, frozen=True, tag='fault', tag_field='kind'):
    """A fault that begins or ends.

    :ivar at: seconds since the start.
    :ivar name: ``speed``, ``crash``, ``restart``, ``lag``, ``lie``,
        ``kill-allocator``, ``kill-host``, ``start-host``, ``platform-down``.
    :ivar target: engine or host by number; the allocator needs none.
    :ivar amount: factor, seconds, or 1 for on and 0 for off.
    """

    at: float
    name: str
    target: int = 0
    amount: float = float(0)


class Trace(msgspec.Struct, frozen=True):
    """A whole trace.

    :ivar head: what it is about.
    :ivar events: arrivals and faults in order of time.
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
