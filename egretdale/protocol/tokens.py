"""Tokens with which a caller goes on with a stream."""

from __future__ import annotations

import base64
import binascii

import msgspec

from egretdale.errors import Invalid


class StreamToken(msgspec.Struct, frozen=True, array_like=True):
    """Where a stream runs.

    :ivar backend: name of the engine.
    :ivar stream_id: identity of the stream at the engine.
    """

    backend: str
    stream_id: str


def encode_stream_token(token: StreamToken) -> str:
    """Encode a token.

    :param token: the token.
    :return: text that is safe in a header.
    """
    packed = msgspec.msgpack.encode(token)
    return base64.urlsafe_b64encode(packed).decode().rstrip('=')


def decode_stream_token(text: str) -> StreamToken | Invalid:
    """Decode a token.

    :param text: text made by :func:`encode_stream_token`.
    :return: the token, or why the text is not one.
    """
    padding = '=' * (-len(text) % 4)
    try:
        packed = base64.urlsafe_b64decode(text + padding)
        return msgspec.msgpack.decode(packed, type=StreamToken)
    except (binascii.Error, ValueError, msgspec.MsgspecError) as malformed:
        return Invalid('Egret-Stream', str(malformed))
