"""Checks of the framing of HTTP requests."""

from __future__ import annotations

from collections.abc import Iterable


def is_framing_unambiguous(headers: Iterable[tuple[str, str]]) -> bool:
    """Return whether all parsers agree where the body of a request ends.

    Other framing would allow request smuggling.

    :param headers: headers as sent.
    :return: false if the headers give more than one length, a malformed
        length or an unsupported transfer encoding.
    """
    lengths = []
    encodings = []
    for name, text in headers:
        match name.lower():
            case 'content-length':
                lengths.append(text.strip())
            case 'transfer-encoding':
                encodings.append(text.strip().lower())
    if len(lengths) + len(encodings) > 1:
        return False
    if encodings:
        return encodings == ['chunked']
    return all(length.isascii() and length.isdigit() for length in lengths)
