"""Tests of a daemon that a crowd of misbehaving clients visits.

Each checks that the process lives, stays within its limits of memory and of
descriptors, and answers an ordinary request afterwards.
"""

from __future__ import annotations

from tests.crowds import (
    LONG,
    UNROUTED,
    check_afterwards,
    open_daemon,
    visit,
)
from tests.functions import create_loader

load_tests = create_loader(__name__)

#: Descriptors of a daemon that a whole crowd would exceed.
_FEW_FDS = 60


def _check(forms: str, **place: str) -> None:
    with open_daemon() as daemon:
        check_afterwards(daemon, visit(daemon, forms, **place))


def _check_descriptors(door: str, form: str = 'silent') -> None:
    with open_daemon(max_fds=_FEW_FDS) as daemon:
        check_afterwards(daemon, visit(daemon, form, door=door))


def test_bodies_that_stop_one_byte_short() -> None:
    """Bodies of legal size are sent in one piece but for their last byte."""
    _check('whole')


def test_bodies_in_small_pieces() -> None:
    """The same bodies are sent in pieces of 700 bytes."""
    _check('pieces')


def test_bodies_in_chunks() -> None:
    """The same bodies are sent in chunks of 64 KiB, without the last one."""
    _check('chunks')


def test_chunks_of_one_byte() -> None:
    """Bodies are sent in 200,000 chunks of a byte each."""
    _check('tiny-chunks')


def test_bodies_announced_far_over_the_limit() -> None:
    """Bodies of 64 MiB are announced and begun."""
    _check('huge')


def test_chunks_without_end() -> None:
    """Bodies in chunks go on to 16 MiB."""
    _check('endless')


def test_requests_of_many_fields() -> None:
    """Heads of legal size have 2,600 fields, and a body that isn't ended."""
    _check('fields')


def test_requests_sent_ahead() -> None:
    """4,000 requests are sent on each connection, and no answer is read."""
    _check('ahead')


def test_heads_without_end() -> None:
    """Heads stop before their last line."""
    _check('half-head')


def test_answers_that_are_not_read() -> None:
    """Long answers are asked for and not read."""
    _check('unread', path=LONG)


def test_readers_that_stop() -> None:
    """Long answers are read to a part and no further."""
    _check('half-read', path=LONG)


def test_several_forms_at_once() -> None:
    """Callers of different forms come together."""
    _check('whole,chunks,fields,pieces,endless,half-head,ahead')


def test_bodies_at_a_path_without_a_route() -> None:
    """Bodies stop one byte short at a path without a route."""
    _check('whole', path=UNROUTED)


def test_chunks_at_a_path_without_a_route() -> None:
    """Bodies in chunks stop at a path without a route."""
    _check('chunks', path=UNROUTED)


def test_bodies_at_the_readiness_check() -> None:
    """Bodies stop one byte short at the readiness check."""
    _check('whole', door='ready', path='/api/ready')


def test_tiny_chunks_at_the_readiness_check() -> None:
    """Chunks of one byte are sent to the readiness check."""
    _check('tiny-chunks', door='ready', path='/api/ready')


def test_fields_at_the_readiness_check() -> None:
    """Heads of many fields are sent to the readiness check."""
    _check('fields', door='ready', path='/api/ready')


def test_bodies_at_the_directory() -> None:
    """Bodies stop one byte short at the directory."""
    _check('whole', door='directory', path='/api/resolve')


def test_tiny_chunks_at_the_directory() -> None:
    """Chunks of one byte are sent to the directory."""
    _check('tiny-chunks', door='directory', path='/api/resolve')


def test_requests_ahead_at_the_directory() -> None:
    """4,000 requests are sent ahead on each connection to the directory."""
    _check('ahead', door='directory', path='/api/resolve')


def test_bodies_at_the_address_for_peers() -> None:
    """HTTP bodies are sent to the address for peers."""
    _check('whole', door='control')


def test_frames_at_the_address_for_peers() -> None:
    """Frames of legal size stop one byte short at the address for peers."""
    _check('frame', door='control')


def test_bodies_at_the_metrics() -> None:
    """Bodies stop one byte short at the metrics."""
    _check('whole', door='metrics', path='/metrics')


def test_tiny_chunks_at_the_metrics() -> None:
    """Chunks of one byte are sent to the metrics."""
    _check('tiny-chunks', door='metrics', path='/metrics')


def test_silent_connections_of_callers() -> None:
    """More callers connect than there are descriptors, and stay silent."""
    _check_descriptors('front')


def test_silent_connections_at_the_readiness_check() -> None:
    """Silent connections to the readiness check."""
    _check_descriptors('ready')


def test_silent_connections_at_the_directory() -> None:
    """Silent connections to the directory."""
    _check_descriptors('directory')


def test_silent_connections_at_the_address_for_peers() -> None:
    """Silent connections to the address for peers."""
    _check_descriptors('control')


def test_silent_connections_at_the_metrics() -> None:
    """Silent connections to the metrics."""
    _check_descriptors('metrics')
