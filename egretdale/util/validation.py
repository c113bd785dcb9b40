"""Conversion of decoder errors."""

from __future__ import annotations

import msgspec

from egretdale.errors import Invalid


def split_validation_error(error: msgspec.ValidationError) -> Invalid:
    """Split a validation error into the path of the field and the message.

    :param error: error raised by ``msgspec``.
    :return: path of the field and message.
    """
    message, _, path = str(error).partition(' - at `')
    return Invalid(path.rstrip('`') or '$', message)
