"""Tokens with which a caller resumes a stream."""

from __future__ import annotations

import base64
import binascii

import msgspec

from egretdale.errors import Invalid


class StreamToken(msgspec.Struct, frozen=True, array_like=True):
    """The engine and the ID of a running stream.

    :ivar backend: name of the engine.
    :ivar stream_id: ID of the stream at the engine.
    """

    backend: str
    stream_id: str


def encode_stream_token(token: StreamToken) -> str:
    """Encode a stream token.

    :param token: the token.
    :return: text that may be used in a header.
    """
    packed = msgspec.msgpack.encode(token)
    return base64.urlsafe_b64encode(packed).decode().rstrip('=')


def decode_stream_token(text: str) -> StreamToken | Invalid:
    """Decode a stream token.

    :param text: text made by :func:`encode_stream_token`.
    :return: the token, or why the text is invalid.
    """
    padding = '=' * (-len(text) % 4)
    try:
        packed = base64.urlsafe_b64decode(text + padding)
        return msgspec.msgpack.decode(packed, type=StreamToken)
    except (binascii.Error, ValueError, msgspec.MsgspecError) as error:
        return Invalid('Egret-Stream', str(error))
