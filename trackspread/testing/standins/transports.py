"""Provides operations on connections that the standard library's transports lack."""

from __future__ import annotations

import asyncio
import socket

_LINGER_ZERO = b"\1\0\0\0\0\0\0\0"  # struct linger with the values on and 0 s


def reset(transport: asyncio.Transport) -> None:
    """Closes a connection with a TCP reset; `abort` alone closes it normally if no data is unread."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    transport.abort()
