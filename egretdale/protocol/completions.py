"""Parsing of completion requests and continuation of their streams."""

from __future__ import annotations

import msgspec

from egretdale.errors import Invalid
from egretdale.util.hashing import hash_text
from egretdale.util.json_text import decode_json

CONTINUE_FIELD = 'continue_from'

_BYTES_PER_TOKEN = 4
_PREFIX_BYTES = 1024
_EVENT_END = b'\n\n'
_DATA_FIELD = b'data: '
_DONE_PAYLOAD = b'[DONE]'


class CompletionRequest(msgspec.Struct, frozen=True):
    """The fields of a completion request that routing needs.

    :ivar model: model name; also the service name if no header is sent.
    :ivar stream: whether the response is a stream of events.
    :ivar max_tokens: output limit, 0 for none.
    :ivar prompt: prompt as raw JSON.
    :ivar messages: chat messages as raw JSON.
    """

    model: str = ''
    stream: bool = False
    max_tokens: int = 0
    prompt: msgspec.Raw = msgspec.Raw(b'')
    messages: msgspec.Raw = msgspec.Raw(b'')

    def read_input(self) -> bytes:
        """Return the JSON text of the prompt or the messages."""
        return bytes(self.prompt) or bytes(self.messages)


class _Delta(msgspec.Struct, frozen=True):
    content: str = ''


class _Choice(msgspec.Struct, frozen=True):
    text: str = ''
    delta: _Delta = _Delta()


class _Event(msgspec.Struct, frozen=True):
    choices: tuple[_Choice, ...] = ()


def parse_completion(body: bytes) -> CompletionRequest | Invalid:
    """Decode the fields that routing needs.

    :param body: request body.
    :return: the fields, or the path of the first invalid field.
    """
    request = decode_json(body, CompletionRequest)
    if isinstance(request, Invalid):
        return request
    if request.max_tokens < 0:
        return Invalid('$.max_tokens', 'must not be below 0')
    if not request.read_input():
        return Invalid('$', 'needs prompt or messages')
    return request


def estimate_tokens(text: bytes) -> int:
    """Estimate the number of tokens in a text.

    :param text: UTF-8 text.
    :return: estimated number of tokens, at least 1.
    """
    return max(1, len(text) // _BYTES_PER_TOKEN)


def hash_prefix(text: bytes) -> int:
    """Hash the leading part of a prompt.

    :param text: UTF-8 text.
    :return: a number below 2**63; 0 for a prompt too short to be cached.
    """
    if len(text) < _PREFIX_BYTES:
        return 0
    leading = text[:_PREFIX_BYTES].decode(errors='replace')
    return hash_text(leading) >> 1


def continue_body(
    body: bytes, chunks: list[bytes], events: int
) -> bytes | None:
    """Build a request body that continues a partly delivered stream.

    :param body: original request body.
    :param chunks: chunks of complete events that were delivered.
    :param events: number of events delivered.
    :return: the body, or ``None`` if the events cannot be parsed.
    """
    try:
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
        text = ''.join(_read_texts(b''.join(chunks)))
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
    continuation = msgspec.json.encode({'text': text, 'events': events})
    return msgspec.json.encode(
        fields | {CONTINUE_FIELD: msgspec.Raw(continuation)}
    )


def _read_texts(delivered: bytes) -> list[str]:
    texts = []
    for block in delivered.split(_EVENT_END):
        for line in block.split(b'\n'):
            payload = line.removeprefix(_DATA_FIELD)
            if payload != line and payload != _DONE_PAYLOAD:
                texts.append(_read_text(payload))
    return texts


def _read_text(payload: bytes) -> str:
    event = msgspec.json.decode(payload, type=_Event)
    return ''.join(
        choice.text or choice.delta.content for choice in event.choices
    )
