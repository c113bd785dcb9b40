"""Conversion between messages and thrift structures."""

from __future__ import annotations

import dataclasses
import functools
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from egretdale.protocol.gen import ttypes
from egretdale.state import messages, queries

_MAXIMUM_CONTAINER_LENGTH = 65536


def encode_structure(message: Any) -> Any:
    """Convert a message to a thrift structure, including nested messages.

    Fields that have their default value are omitted.

    :param message: an instance of a class of ``state.messages`` or
        ``state.queries``.
    :return: the thrift structure of the same name.
    """
    wire_class = getattr(ttypes, type(message).__name__)
    structure = wire_class()
    for name, default in _list_defaults(type(message)):
        field_value = getattr(message, name)
        if field_value != default:
            setattr(structure, name, _convert_to_wire(field_value))
    return structure


def decode_structure(structure: Any) -> Any:
    """Convert a thrift structure to a message, including nested structures.

    :param structure: an instance of a generated class.
    :return: the message of the same name.
    :raises ValueError: a field that has no default is missing.
    """
    message_class = _find_class(type(structure).__name__)
    present = {}
    for name in _list_fields(message_class):
        field_value = getattr(structure, name)
        if field_value is not None:
            present[name] = _convert_from_wire(field_value)
    try:
        return message_class(**present)
    except TypeError as error:
        raise ValueError(str(error)) from error


def create_protocol(buffer: TMemoryBuffer) -> TCompactProtocolAccelerated:
    """Create the thrift protocol that daemons use among each other.

    :param buffer: memory that is read or written.
    :return: compact protocol that limits the length of containers.
    """
    return TCompactProtocolAccelerated(
        buffer,
        container_length_limit=_MAXIMUM_CONTAINER_LENGTH,
        fallback=True,
    )


@functools.cache
def _find_class(name: str) -> type[Any]:
    return getattr(messages, name, None) or getattr(queries, name)


@functools.cache
def _list_fields(message_class: type[Any]) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(message_class))


@functools.cache
def _list_defaults(
    message_class: type[Any],
) -> tuple[tuple[str, object], ...]:
    return tuple(
        (field.name, _find_default(field))
        for field in dataclasses.fields(message_class)
    )


def _find_default(field: dataclasses.Field[Any]) -> object:
    if field.default_factory is not dataclasses.MISSING:
        return field.default_factory()
    # MISSING equals no value, so a field without a default is always sent.
    return field.default


def _convert_to_wire(field_value: Any) -> Any:
    if dataclasses.is_dataclass(field_value):
        return encode_structure(field_value)
    if isinstance(field_value, list):
        return [_convert_to_wire(element) for element in field_value]
    return field_value


def _convert_from_wire(field_value: Any) -> Any:
    if isinstance(field_value, list):
        return [_convert_from_wire(element) for element in field_value]
    if hasattr(field_value, 'thrift_spec'):
        return decode_structure(field_value)
    return field_value
