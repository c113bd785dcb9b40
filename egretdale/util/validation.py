"""Errors of decoders as values."""

from __future__ import annotations

import msgspec

from egretdale.errors import Invalid


def split_validation_error(error: msgspec.ValidationError) -> Invalid:
    """Separate the field path from a decoder's message.

    :param error: error raised by ``msgspec``.
    :return: path and message.
    """
    message, _, path = str(error).partition(' - at `')
    return Invalid(path.rstrip('`') or '$', message)
