"""Asks the kernel how many bytes a socket holds in either direction (tcp(7))."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

COUNT = struct.Struct("i")


def unread_bytes(raw_socket: socket.socket) -> int:
    """Returns how many bytes were received that the process has not read."""
    return _queued_bytes(raw_socket, termios.FIONREAD)


def unacknowledged_bytes(raw_socket: socket.socket) -> int:
    """Returns how many bytes were written that the peer's system has not acknowledged."""
    return _queued_bytes(raw_socket, termios.TIOCOUTQ)


def _queued_bytes(raw_socket: socket.socket, request: int) -> int:
    return int(COUNT.unpack(fcntl.ioctl(raw_socket.fileno(), request, bytes(COUNT.size)))[0])
