"""Accepts the connections of one listening socket, several of them in a turn of the loop.

The loop's own server accepts one connection in a turn. Where hundreds of clients connect at once and each
turn takes milliseconds, the last of them waits for seconds.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from ..logs import RateLimitFilter

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

MAX_ACCEPTS_PER_TURN = 32
RETRY_DELAY_S = 0.02  # after an error that does not pass with the connection, as of too few descriptors
# These concern one connection, which is out of the queue then; see accept(2), "Error handling".
CONNECTION_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.ENETDOWN,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
    )
)


class Acceptor:
    """Passes each accepted connection to a function until it is closed."""

    def __init__(
        self,
        listener: socket.socket,
        accepted: Callable[[socket.socket], object],
        may_accept: Callable[[], bool] = lambda: True,
    ) -> None:
        """Begins to accept; `listener` listens already, and is closed with the acceptor.

        `may_accept` returns whether to accept another connection in the same turn of the loop.
        """
        self._loop = asyncio.get_running_loop()
        self._listener = listener
        self._accepted = accepted
        self._may_accept = may_accept
        self._retry: asyncio.TimerHandle | None = None
        listener.setblocking(False)
        self._resume()

    @property
    def port(self) -> int:
        """Returns the port of the listening socket."""
        return int(self._listener.getsockname()[1])

    def _resume(self) -> None:
        self._retry = None
        self._loop.add_reader(self._listener.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self._may_accept():
                return
            try:
                connection, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in CONNECTION_ERRORS:
                    continue
                return self._pause(error)
            connection.setblocking(False)
            self._accepted(connection)

    def _pause(self, error: OSError) -> None:
        """Leaves the connections in the queue for a while."""
        log.warning("client connections: none accepted for %.2f s: %s", RETRY_DELAY_S, error)
        self._loop.remove_reader(self._listener.fileno())
        self._retry = self._loop.call_later(RETRY_DELAY_S, self._resume)

    def close(self) -> None:
        """Closes the listening socket; it must be called once."""
        if self._retry is not None:
            self._retry.cancel()
        self._loop.remove_reader(self._listener.fileno())
        self._listener.close()
