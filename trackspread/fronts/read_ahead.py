"""Limits how much is read of streaming clients ahead of what can be processed.

It knows sizes and the order of the clients. It knows neither sockets nor what the input means. A client
streams if its last read filled the buffer: more input probably waits in its socket, where the kernel bounds
it. It is not read while half of the limit is used. Clients with short input are always read, so the limit can
still be passed; then the connections with the most of it have to end.
"""

from __future__ import annotations

from ..memory.read_buffer import READ_BYTES
from ..memory.read_queue import PausedConnection, ReadQueue

STREAMING_FRACTION = 0.5  # of the limit, from which streaming clients are not read


class ReadAhead:
    """Counts the input that is read and not processed, and holds the clients that wait to be read."""

    def __init__(self, limit_bytes: int) -> None:
        """Creates it without clients; `limit_bytes` is the most that all of them may have unprocessed."""
        self.limit_bytes = limit_bytes
        self.unprocessed_bytes = 0  # of all clients together
        self._queue = ReadQueue()

    @property
    def is_over_limit(self) -> bool:
        """Returns whether connections have to end."""
        return self.unprocessed_bytes > self.limit_bytes

    @property
    def _streaming_bytes(self) -> int:
        """Returns how much of the part for streaming clients is left; it may be negative."""
        return int(self.limit_bytes * STREAMING_FRACTION) - self.unprocessed_bytes

    @property
    def waiting(self) -> int:
        """Returns how many clients wait to be read."""
        return len(self._queue)

    def changed(self, by_bytes: int) -> None:
        """Follows the unprocessed input; for input that was processed, one client is read on."""
        self.unprocessed_bytes += by_bytes
        if by_bytes < 0 and self._queue and self._streaming_bytes > 0:
            self._queue.continue_first()

    def must_wait(self, client: PausedConnection) -> bool:
        """Returns whether a streaming client is not read for now; `continue_reading` is called later."""
        if self._streaming_bytes > 0 and not self._queue:
            return False
        self._queue.add(client)
        return True

    def continue_all(self) -> None:
        """Has as many clients read as fit, as those that were read on may have sent nothing more."""
        for _ in range(max(0, self._streaming_bytes) // READ_BYTES + 1):
            if not self._queue or self._streaming_bytes <= 0:
                return
            self._queue.continue_first()

    def remove(self, client: PausedConnection) -> None:
        """Forgets a client whose connection has ended."""
        self._queue.remove(client)
