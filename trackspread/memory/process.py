"""Measures the memory of this process and of its sockets, and returns freed memory to the system.

Sources: proc(5), mallopt(3), malloc_trim(3), and `SO_MEMINFO` in the kernel's `linux/sock_diag.h`. What a
system lacks counts as 0.
"""

from __future__ import annotations

import ctypes
import os
import socket
import struct
from pathlib import Path

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
RESIDENT_FIELD = 1  # of /proc/self/statm, in pages
SO_MEMINFO = 55  # of the generic socket options; the standard library has no name for it
MEMINFO = struct.Struct("9I")
RECEIVE_FIELD, FORWARD_FIELD, QUEUED_FIELD = 0, 4, 5  # SK_MEMINFO_RMEM_ALLOC, _FWD_ALLOC, _WMEM_QUEUED
M_TRIM_THRESHOLD, M_MMAP_THRESHOLD = -1, -3  # parameters of mallopt(3)
MMAP_THRESHOLD_BYTES = 32 << 10  # a longer block is a mapping of its own, which its release returns
TRIM_THRESHOLD_BYTES = 128 << 10  # of free memory at the end of the heap


def resident_bytes() -> int:
    """Returns the resident size of this process, or 0 if it cannot be read."""
    try:
        return int(Path("/proc/self/statm").read_bytes().split()[RESIDENT_FIELD]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def socket_bytes(connection: socket.socket) -> int:
    """Returns what the kernel keeps for a socket in both directions, or 0 if it does not tell."""
    try:
        raw = connection.getsockopt(socket.SOL_SOCKET, SO_MEMINFO, MEMINFO.size)
    except OSError:
        return 0
    if len(raw) < MEMINFO.size:
        return 0
    sizes = MEMINFO.unpack(raw)
    return int(sizes[RECEIVE_FIELD] + sizes[FORWARD_FIELD] + sizes[QUEUED_FIELD])


class OwnProcess:
    """Measures this process and controls the C library's allocator, as far as it has the functions."""

    def __init__(self) -> None:
        """Fixes the allocator's thresholds, which otherwise grow with the largest block that was freed."""
        library = ctypes.CDLL(None)
        self._trim = getattr(library, "malloc_trim", None)
        if (mallopt := getattr(library, "mallopt", None)) is not None:
            mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
            mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)

    def resident_bytes(self) -> int:
        """Returns the resident size, or 0 if it cannot be read."""
        return resident_bytes()

    def return_free_memory(self) -> None:
        """Returns free pages to the system, also those between blocks that are in use."""
        if self._trim is not None:
            self._trim(ctypes.c_size_t(0))
