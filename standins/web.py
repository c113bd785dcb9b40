"""Helpers for the HTTP servers of this package."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any

import eventlet
from eventlet import wsgi
from eventlet.green import socket

#: WSGI environment.
Environ = dict[str, Any]

#: The WSGI callable that starts a response.
StartResponse = Callable[..., Any]

#: A WSGI application.
Application = Callable[[Environ, StartResponse], Iterable[bytes]]


class _DiscardedLog:
    """Discards the access log."""

    def write(self, line: str) -> None:
        """Discard a line.

        :param line: line of the access log.
        """


def listen(address: str) -> socket.socket:
    """Listen on an address with Nagle's algorithm disabled.

    :param address: ``address:port``.
    :return: listening socket.
    """
    host, _, port = address.rpartition(':')
    listener = eventlet.listen((host, int(port)), backlog=512)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def serve(listener: socket.socket, application: Application) -> None:
    """Serve an application until the process ends.

    :param listener: listening socket.
    :param application: WSGI application.
    """

    def serve_unbuffered(
        environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        # By default, the server buffers small events until they fill a chunk.
        environ['eventlet.minimum_write_chunk_size'] = 1
        return application(environ, start_response)

    wsgi.server(
        listener,
        serve_unbuffered,
        log=_DiscardedLog(),
        max_size=8192,
        debug=False,
    )


def read_json(environ: Environ) -> dict[str, Any]:
    """Read a JSON body.

    :param environ: WSGI environment.
    :return: its fields; empty if there is no body.
    """
    body = environ['wsgi.input'].read()
    return json.loads(body) if body else {}


def respond(
    start_response: StartResponse,
    status: str,
    fields: Any,
    headers: tuple[tuple[str, str], ...] = (),
) -> list[bytes]:
    """Start a JSON response.

    :param start_response: WSGI callable.
    :param status: status line.
    :param fields: body to encode.
    :param headers: additional headers.
    :return: chunks of the body.
    """
    body = json.dumps(fields).encode()
    start_response(
        status,
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            *headers,
        ],
    )
    return [body]


def break_connection(environ: Environ) -> None:
    """Close the connection of a request without a response.

    :param environ: WSGI environment.
    """
    connection = environ['eventlet.input'].get_socket()
    connection.shutdown(socket.SHUT_RDWR)


def hang() -> None:
    """Block for an hour, so that in practice no response is sent."""
    eventlet.sleep(3600)
