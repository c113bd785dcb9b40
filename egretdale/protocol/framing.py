"""Framing of requests on connections of callers."""

from __future__ import annotations

from collections.abc import Iterable


def is_framing_clear(headers: Iterable[tuple[str, str]]) -> bool:
    """Tell whether all parsers agree where the body of a request ends.

    :param headers: headers as sent.
    :return: false if they announce more than one length or an unknown one.
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
