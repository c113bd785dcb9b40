"""Identities of requests and of refusals."""

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
    """The facts of a refusal, carried by its identity.

    :ivar request_id: identity of the refused request.
    :ivar host: entry host that refused.
    :ivar at_s: seconds since the Unix epoch.
    :ivar service: service name.
    :ivar class_name: class of the request, empty when unknown.
    :ivar organisation: organisation of the caller.
    :ivar reason: a value of ``Reason``.
    :ivar ran: a value of ``Ran``.
    :ivar revision: document revision that decided, 0 when none was held.
    :ivar retry_after_ms: when to come back, -1 when that would not help.
    :ivar wait_ms: expected wait behind the decision, -1 when not one.
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
    """Creates request identities that no other process creates.

    :ivar host: name of this host.
    :ivar incarnation: incarnation of this process.
    """

    __slots__ = ('_next', 'host', 'incarnation')

    def __init__(self, host: str, incarnation: int) -> None:
        """Start counting.

        :param host: name of this host.
        :param incarnation: incarnation of this process.
        """
        self.host = host
        self.incarnation = incarnation
        self._next = 0

    def create(self) -> str:
        """Create an identity.

        :return: text such as ``host.18f2a.7``.
        """
        self._next += 1
        return f'{self.host}.{self.incarnation:x}.{self._next:x}'


def encode_refusal(record: RefusalRecord) -> str:
    """Encode the facts of a refusal with a checksum.

    :param record: facts of the refusal.
    :return: text that is safe in a URL and a header.
    """
    packed = msgspec.msgpack.encode(record)
    checksum = zlib.crc32(packed).to_bytes(_CHECKSUM_BYTES, 'big')
    encoded = base64.urlsafe_b64encode(checksum + packed)
    return _PREFIX + encoded.decode().rstrip('=')


def decode_refusal(identity: str) -> RefusalRecord | Invalid:
    """Decode the identity of a refusal.

    :param identity: text made by :func:`encode_refusal`.
    :return: the facts, or why the text is not such an identity.
    """
    if not identity.startswith(_PREFIX):
        return Invalid('id', f'does not start with {_PREFIX}')
    body = identity.removeprefix(_PREFIX)
    padding = '=' * (-len(body) % 4)
    try:
        raw = base64.urlsafe_b64decode(body + padding)
    except (binascii.Error, ValueError):
        return Invalid('id', 'is not base64')
    checksum = raw[:_CHECKSUM_BYTES]
    packed = raw[_CHECKSUM_BYTES:]
    if zlib.crc32(packed).to_bytes(_CHECKSUM_BYTES, 'big') != checksum:
        return Invalid('id', 'has a wrong checksum: it was changed or cut')
    try:
        return _decoder.decode(packed)
    except msgspec.MsgspecError as malformed:
        return Invalid('id', str(malformed))
