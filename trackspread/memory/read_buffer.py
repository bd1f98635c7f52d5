"""Reads sockets into one buffer of a fixed size that all connections of the process share.

A read by the event loop's own buffer yields up to 250 KB at once, from every socket that is ready, before any
limit can be checked; blocks of ever other sizes also leave gaps in the heap.
"""

from __future__ import annotations

import asyncio

READ_BYTES = 16 << 10

_view = memoryview(bytearray(READ_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Receives what was read as bytes of at most `READ_BYTES`; a subclass implements `data_received`."""

    __slots__ = ()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the shared buffer; the loop fills it and calls `buffer_updated` before its next read."""
        return _view

    def buffer_updated(self, nbytes: int) -> None:
        """Passes a copy of what was read on."""
        self.data_received(bytes(_view[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handles what was read."""
        raise NotImplementedError
