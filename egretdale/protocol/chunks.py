"""Chunks of a body that have been received together."""

from __future__ import annotations

import re

from egretdale.protocol.framing import CHUNK_SIZE_LINE, LINE_END

_HEXADECIMAL = 16
#: End of a chunk and the size of the next one.
_NEXT_CHUNK = re.compile(LINE_END + CHUNK_SIZE_LINE.pattern)


def parse_chunk_size(digits: bytes) -> int:
    """Parse the size of a chunk in bytes.

    :param digits: hexadecimal digits.
    :return: number of bytes.
    """
    return int(digits, _HEXADECIMAL)


def join_chunks(received: bytes, size: int) -> tuple[bytes, int]:
    """Join the content of the chunks that have been received as a whole.

    :param received: bytes from the content of a chunk on.
    :param size: size of that chunk, all of which has been received.
    :return: the joined content, and the offset at which the last one ends.
    """
    pieces = [received[:size]]
    end = size
    following = _NEXT_CHUNK.match(received, end)
    while following is not None:
        begin = following.end()
        size = parse_chunk_size(following['size'])
        if not size or begin + size > len(received):
            break
        end = begin + size
        pieces.append(received[begin:end])
        following = _NEXT_CHUNK.match(received, end)
    return b''.join(pieces), end
