"""Connects the old process and the new one through a socket whose name is in `$TMPDIR`.

This module may depend on sockets, descriptors and the event loop, not on the steps of a handover or the
meaning of packets. A packet can carry a descriptor.
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

from ..fair_scheduler import FairScheduler, TimeSlice
from .wire import MAX_PACKET_BYTES

BACKLOG = 4  # new processes that wait until the handover to an earlier one has ended
# For a packet for which the kernel had no memory, or too many descriptors were on their way.
SEND_RETRY_INTERVAL_S = 0.005
RETRIED_ERRORS = (errno.ETOOMANYREFS, errno.ENOBUFS)
DESCRIPTOR_BYTES = array.array("i").itemsize

Received = Callable[[bytes, "int | None"], None]


class Link:
    """Sends packets in order over one connection, each with or without a descriptor, and receives them."""

    def __init__(
        self,
        connected: socket.socket,
        on_packet: Received,
        on_lost: Callable[[], None],
        input_scheduler: FairScheduler,
    ) -> None:
        """Starts to read from the socket `connected`.

        `on_packet` takes each packet and its descriptor, `on_lost` is called once the connection has ended.
        `input_scheduler` shares the loop's time with other sources of input.
        """
        self._input_scheduler = input_scheduler
        self._loop = asyncio.get_running_loop()
        self._socket = connected
        self._on_packet = on_packet
        self._on_lost = on_lost
        self._unsent: deque[tuple[bytes, int | None]] = deque()
        self._retry: asyncio.TimerHandle | None = None
        self._awaits_writable = False  # the socket's buffer is full
        self._is_closed = False
        connected.setblocking(False)
        self._loop.add_reader(connected.fileno(), input_scheduler.input_arrived, self)

    def send(self, packet: bytes, descriptor: int | None = None) -> bool:
        """Sends a packet; returns False if the connection has ended. The descriptor is closed once sent."""
        if self._is_closed:
            _close(descriptor)
            return False
        self._unsent.append((packet, descriptor))
        if not self._awaits_writable:
            self._flush()
        return not self._is_closed

    @property
    def unsent_bytes(self) -> int:
        """Returns the size of the packets that wait to be sent."""
        return sum(len(packet) for packet, _ in self._unsent)

    def _writable(self) -> None:
        self._awaits_writable = False
        self._loop.remove_writer(self._socket.fileno())
        self._flush()

    def _flush(self) -> None:
        self._retry = None
        while self._unsent and not self._is_closed:
            packet, descriptor = self._unsent[0]
            ancillary = []
            if descriptor is not None:
                ancillary.append((socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [descriptor])))
            try:
                self._socket.sendmsg([packet], ancillary)
            except BlockingIOError:
                self._awaits_writable = True
                self._loop.add_writer(self._socket.fileno(), self._writable)
                return
            except OSError as error:
                if error.errno in RETRIED_ERRORS:
                    self._retry = self._loop.call_later(SEND_RETRY_INTERVAL_S, self._flush)
                    return
                return self._end()
            self._unsent.popleft()
            _close(descriptor)

    def process_input(self, time_slice: TimeSlice) -> bool:
        """Reads packets until the slice is over; see `InputSource`."""
        while self._read_packet():
            if time_slice.is_over():
                return True
        return False

    def _read_packet(self) -> bool:
        """Reads one packet; returns False if there is none, or the connection has ended."""
        if self._is_closed:
            return False
        try:
            data, ancillary, flags, _ = self._socket.recvmsg(
                MAX_PACKET_BYTES + 1, socket.CMSG_SPACE(DESCRIPTOR_BYTES)
            )
        except BlockingIOError:
            return False
        except OSError:
            self._end()
            return False
        descriptor = _received_descriptor(ancillary)
        if not data:
            _close(descriptor)
            self._end()
            return False
        self._on_packet(b"" if flags & socket.MSG_TRUNC else data, descriptor)
        return True

    def end_reading(self) -> None:
        """Reads what the other side has written so far, and nothing after it.

        From here on the other side's writes fail. So each of its messages has either been read here, or the
        other side knows that it was lost.
        """
        if not self._is_closed:
            self._socket.shutdown(socket.SHUT_RD)
            while self._read_packet():
                pass

    def abort(self) -> None:
        """Ends the connection; see `InputSource`."""
        self._end()

    def _end(self) -> None:
        if not self._is_closed:
            self.close()
            self._on_lost()

    def close(self) -> None:
        """Closes the connection and the descriptors that were not sent."""
        if self._is_closed:
            return
        self._is_closed = True
        self._input_scheduler.remove(self)
        self._loop.remove_reader(self._socket.fileno())
        self._loop.remove_writer(self._socket.fileno())
        if self._retry is not None:
            self._retry.cancel()
        self._socket.close()
        while self._unsent:
            _close(self._unsent.popleft()[1])


def _received_descriptor(ancillary: list[tuple[int, int, bytes]]) -> int | None:
    """Returns the first descriptor of a packet's ancillary data, or None, and closes any others."""
    found = array.array("i")
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == socket.SCM_RIGHTS:
            found.frombytes(data[: len(data) - len(data) % found.itemsize])
    for descriptor in found[1:]:
        os.close(descriptor)
    return found[0] if found else None


def _close(descriptor: int | None) -> None:
    if descriptor is not None:
        os.close(descriptor)


class HandoverSocket:
    """Holds the socket in the common folder on which the serving process listens for newer processes.

    The folder's path may be too long for a socket's name, so the folder is accessed through its descriptor.
    """

    def __init__(self, folder: Path, name: str) -> None:
        self._name = f"trackspread-{blake2b(name.encode(), digest_size=6).hexdigest()}"
        self._folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self._server: socket.socket | None = None

    def _path(self, name: str) -> str:
        return f"/proc/self/fd/{self._folder}/{name}"

    def connect(self) -> socket.socket | None:
        """Returns a connection to the serving process, or None if there is no such process."""
        connection = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        connection.setblocking(False)
        try:
            connection.connect(self._path(self._name))
        except OSError:  # also if only the name of a process that has died is left
            connection.close()
            return None
        return connection

    def listen(self, on_connection: Callable[[], None]) -> None:
        """Listens under the name, which is taken from its former process atomically; raises `OSError`.

        `on_connection` is called when a new process connects.
        """
        self._server = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self._server.setblocking(False)
        temporary_name = f"{self._name}.{os.getpid()}"
        self._server.bind(self._path(temporary_name))
        self._server.listen(BACKLOG)
        os.rename(temporary_name, self._name, src_dir_fd=self._folder, dst_dir_fd=self._folder)
        asyncio.get_running_loop().add_reader(self._server.fileno(), on_connection)

    def accept(self) -> socket.socket | None:
        """Returns the connection of the next waiting process, or None if there is none."""
        if self._server is None:
            return None
        try:
            return self._server.accept()[0]
        except OSError:
            return None

    def close(self) -> None:
        """Stops listening.

        The name is not removed: it is the successor's by then, or connecting to it fails.
        """
        if self._server is not None:
            asyncio.get_running_loop().remove_reader(self._server.fileno())
            self._server.close()
            self._server = None
        os.close(self._folder)
