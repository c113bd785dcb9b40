"""IDs of requests and of refusals."""

from __future__ import annotations

import base64
import binascii
import zlib
from typing import Any

import msgspec

from egretdale.errors import Invalid

_PREFIX = 'rf1.'
_CHECKSUM_BYTES = 4


class RefusalRecord(msgspec.Struct, frozen=True, array_like=True):
    """The details of a refusal, encoded in its ID.

    :ivar request_id: ID of the refused request.
    :ivar host: entry host that refused the request.
    :ivar at_s: time of the refusal in seconds since the Unix epoch.
    :ivar service: service name.
    :ivar class_name: class of the request, empty if unknown.
    :ivar organisation: organisation of the caller.
    :ivar reason: a value of ``Reason``.
    :ivar ran: a value of ``Ran``.
    :ivar revision: revision of the document that the decision is based on, 0
        if the host had none.
    :ivar retry_after_ms: milliseconds after which the caller should retry,
        -1 if a retry would not help.
    :ivar wait_ms: expected wait in milliseconds that led to the refusal, -1
        if the wait was not the reason.
    """

    request_id: str
    host: str
    at_s: int
    service: str
    class_name: str
    organisation: str
    reason: str
    ran: str
    revision: int
    retry_after_ms: int = -1
    wait_ms: int = -1


_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(RefusalRecord)


class RequestIdGenerator:
    """Creates request IDs that are unique across processes.

    :ivar host: name of this host.
    :ivar incarnation: incarnation of this process.
    """

    __slots__ = ('_next', 'host', 'incarnation')

    def __init__(self, host: str, incarnation: int) -> None:
        """Create a generator.

        :param host: name of this host.
        :param incarnation: incarnation of this process.
        """
        self.host = host
        self.incarnation = incarnation
        self._next = 0

    def create(self) -> str:
        """Create a request ID.

        :return: text such as ``host.18f2a.7``.
        """
        self._next += 1
        return f'{self.host}.{self.incarnation:x}.{self._next:x}'


def encode_refusal(record: RefusalRecord) -> str:
    """Encode the details of a refusal with a checksum.

    :param record: details of the refusal.
    :return: the refusal ID, safe in a URL and a header.
    """
    packed = msgspec.msgpack.encode(record)
    checksum = zlib.crc32(packed).to_bytes(_CHECKSUM_BYTES, 'big')
    encoded = base64.urlsafe_b64encode(checksum + packed)
    return _PREFIX + encoded.decode().rstrip('=')


def decode_refusal(refusal_id: str) -> RefusalRecord | Invalid:
    """Decode the ID of a refusal.

    :param refusal_id: text returned by :func:`encode_refusal`.
    :return: the details, or why the text is not a valid refusal ID.
    """
    if not refusal_id.startswith(_PREFIX):
        return Invalid('id', f'does not start with {_PREFIX}')
    body = refusal_id.removeprefix(_PREFIX)
    padding = '=' * (-len(body) % 4)
    try:
        raw = base64.urlsafe_b64decode(body + padding)
    except (binascii.Error, ValueError):
        return Invalid('id', 'is not base64')
    checksum = raw[:_CHECKSUM_BYTES]
    packed = raw[_CHECKSUM_BYTES:]
    if zlib.crc32(packed).to_bytes(_CHECKSUM_BYTES, 'big') != checksum:
        return Invalid(
            'id', 'has a wrong checksum: it was changed or truncated'
        )
    try:
        return _decoder.decode(packed)
    except msgspec.MsgspecError as malformed:
        return Invalid('id', str(malformed))
