"""Values of the headers of forwarded requests and of their responses."""

from __future__ import annotations

import re
from urllib.parse import unquote

from egretdale.coordination.exchanges import (
    BackendIdentity,
    Prompt,
    PromptPart,
)
from egretdale.errors import Invalid
from egretdale.util.clocks import convert_to_seconds
from egretdale.util.json_text import MAXIMUM_I32

_HEXADECIMAL = 16
#: Enough for the largest number that 64 bits can hold.
_DIGITS = re.compile('[0-9]{1,18}')
_IDENTITY = re.compile('[0-9a-fA-F]{1,64}')
#: Largest count, which messages between hosts can carry.
_MAXIMUM_COUNT = MAXIMUM_I32
_DECIMAL = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')
#: Characters of a malformed header that are logged.
_SHOWN_TEXT = 40


def parse_prompt(counts: str, parts: str) -> Prompt:
    """Parse the headers that describe a prompt.

    :param counts: prompt tokens and output limit, separated by a comma.
    :param parts: parts as hash, colon and tokens, separated by commas.
    :return: the prompt, without the values that cannot be parsed.
    """
    prompt_tokens, _, output = counts.partition(',')
    parsed = []
    for entry in parts.split(','):
        identity, _, tokens = entry.strip().partition(':')
        if _IDENTITY.fullmatch(identity) and is_number(tokens):
            number = int(identity, _HEXADECIMAL)
            parsed.append(PromptPart(number, parse_count(tokens)))
    return Prompt(
        parse_count(prompt_tokens), parse_count(output), tuple(parsed)
    )


def parse_relayed(text: str) -> int:
    """Parse how many backend servers a request was sent to by another host.

    :param text: the header, empty for a request of a caller.
    :return: the number, -1 for a request of a caller.
    """
    return parse_count(text) if text else -1


def parse_backend(text: str) -> BackendIdentity | None:
    """Parse who sent a response that another host has relayed.

    :param text: the header, empty if there is none.
    :return: the backend server, ``None`` if it is unknown.
    """
    match text.split(';'):
        case [service, name, born_ms] if is_number(born_ms):
            return BackendIdentity(
                unquote(service), unquote(name), int(born_ms)
            )
    return None


def parse_count(text: str) -> int:
    """Parse a whole number.

    :param text: the header or a part of it.
    :return: the number, at most what messages between hosts can carry; 0 if it
        cannot be parsed.
    """
    stripped = text.strip()
    return min(int(stripped), _MAXIMUM_COUNT) if is_number(stripped) else 0


def is_number(text: str) -> bool:
    """Tell whether a text consists of a few decimal digits.

    :param text: the text, possibly with digits that are not ASCII.
    """
    return _DIGITS.fullmatch(text) is not None


def parse_rate(name: str, text: str | None) -> float | Invalid | None:
    """Parse a rate.

    :param name: name of the header.
    :param text: its value, ``None`` if it is missing.
    :return: the rate per second, or why it cannot be parsed.
    """
    if text is None:
        return None
    if _DECIMAL.fullmatch(text.strip()) is None:
        return Invalid(name, f'is not a decimal number: {text[:_SHOWN_TEXT]!r}')
    return float(text)


def parse_flag(name: str, text: str | None) -> bool | Invalid:
    """Parse a flag.

    :param name: name of the header.
    :param text: its value, ``None`` if it is missing.
    :return: whether it is set, or why it cannot be parsed.
    """
    match text if text is None else text.strip():
        case None | '0':
            return False
        case '1':
            return True
    return Invalid(name, f'is neither 0 nor 1: {text[:_SHOWN_TEXT]!r}')


def parse_duration(text: str | None) -> float | None | Invalid:
    """Parse a duration.

    :param text: whole milliseconds, ``None`` if the header is missing.
    :return: seconds, or why it cannot be parsed.
    """
    if text is None:
        return None
    if not is_number(text.strip()):
        return Invalid('', 'must be a whole number of milliseconds')
    return convert_to_seconds(int(text))
