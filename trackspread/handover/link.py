"""The connection between both processes, and the place in `$TMPDIR` where they meet.

May know: sockets, descriptors, the loop. May not know: steps, what packets mean. Descriptors travel with
packets.
"""

from __future__ import annotations

import array
import asyncio
import errno
import os
import socket
from collections import deque
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path

from .wire import PACKET_MOST

WAITING = 4  # newcomers that wait until the one before them is through
AGAIN = 0.005  # s until a packet is tried again that the kernel had no room for

Received = Callable[[bytes, "int | None"], None]


class Link:
    """One connection; packets go out in order, each with a descriptor or without."""

    def __init__(self, made: socket.socket, received: Received, lost: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._socket, self._received, self._lost = made, received, lost
        self._out: deque[tuple[bytes, int | None]] = deque()
        self._retry: asyncio.TimerHandle | None = None
        self._closed = False
        made.setblocking(False)
        self._loop.add_reader(made.fileno(), self._read)

    def send(self, packet: bytes, descriptor: int | None = None) -> bool:
        """Whether it is on its way; the descriptor is closed here once it is."""
        if self._closed:
            _close(descriptor)
            return False
        self._out.append((packet, descriptor))
        self._flush()
        return not self._closed

    def _flush(self) -> None:
        self._retry = None
        while self._out and not self._closed:
            packet, descriptor = self._out[0]
            extra = (
                []
                if descriptor is None
                else [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [descriptor]))]
            )
            try:
                self._socket.sendmsg([packet], extra)
            except OSError as error:
                if error.errno in (errno.EAGAIN, errno.ETOOMANYREFS, errno.ENOBUFS):
                    self._retry = self._loop.call_later(AGAIN, self._flush)
                    return
                return self._end()
            self._out.popleft()
            _close(descriptor)

    def _read(self) -> None:
        while not self._closed:
            try:
                data, extra, flags, _ = self._socket.recvmsg(PACKET_MOST + 1, socket.CMSG_SPACE(4))
            except BlockingIOError:
                return
            except OSError:
                return self._end()
            descriptor = _taken(extra)
            if not data:
                _close(descriptor)
                return self._end()
            self._received(b"" if flags & socket.MSG_TRUNC else data, descriptor)

    def last(self) -> None:
        """Nothing more is taken from the other side; what it had written by then is still read. From here on
        it finds that it can't write: whatever it says is either known here or known to be lost there."""
        if not self._closed:
            self._socket.shutdown(socket.SHUT_RD)
            self._read()

    def _end(self) -> None:
        if not self._closed:
            self.close()
            self._lost()

    def close(self) -> None:
        """End the connection; descriptors that were not sent are closed."""
        if self._closed:
            return
        self._closed = True
        self._loop.remove_reader(self._socket.fileno())
        if self._retry is not None:
            self._retry.cancel()
        self._socket.close()
        while self._out:
            _close(self._out.popleft()[1])


def _taken(extra: list[tuple[int, int, bytes]]) -> int | None:
    found = array.array("i")
    for level, kind, data in extra:
        if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
            found.frombytes(data[: len(data) - len(data) % found.itemsize])
    for descriptor in found[1:]:
        os.close(descriptor)
    return found[0] if found else None


def _close(descriptor: int | None) -> None:
    if descriptor is not None:
        os.close(descriptor)


class Rendezvous:
    """The name in the common folder where whoever serves listens. The folder's path may be longer than a
    socket's name can be, so it is reached through its descriptor."""

    def __init__(self, folder: Path, name: str) -> None:
        self._name = f"trackspread-{blake2b(name.encode(), digest_size=6).hexdigest()}"
        self._folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self._server: socket.socket | None = None

    def _path(self, name: str) -> str:
        return f"/proc/self/fd/{self._folder}/{name}"

    def seek(self) -> socket.socket | None:
        """A connection to whoever serves; a name that a dead process left answers nobody."""
        made = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        made.setblocking(False)
        try:
            made.connect(self._path(self._name))
        except OSError:
            made.close()
            return None
        return made

    def listen(self, came: Callable[[], None]) -> None:
        """In one step in place of whoever was there; raises `OSError`."""
        self._server = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self._server.setblocking(False)
        fresh = f"{self._name}.{os.getpid()}"
        self._server.bind(self._path(fresh))
        self._server.listen(WAITING)
        os.rename(fresh, self._name, src_dir_fd=self._folder, dst_dir_fd=self._folder)
        asyncio.get_running_loop().add_reader(self._server.fileno(), came)

    def accept(self) -> socket.socket | None:
        """The next newcomer."""
        if self._server is None:
            return None
        try:
            return self._server.accept()[0]
        except OSError:
            return None

    def close(self) -> None:
        """The name stays: by then it is the successor's, or one that answers nobody."""
        if self._server is not None:
            asyncio.get_running_loop().remove_reader(self._server.fileno())
            self._server.close()
            self._server = None
        os.close(self._folder)
