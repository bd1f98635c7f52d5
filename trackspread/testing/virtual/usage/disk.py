"""Simulates a disk with faults: sectors that were not synced may be lost, and any call may be the last.

The faults are a loss of power in the middle of a call, a sync that fails and drops its data, a full disk, a
read-only disk, a flipped bit, a removal that is undone, and a copy of an earlier state.
"""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, field

SECTOR = 512  # bytes that a disk writes at once; any part of the sector being written may be stored
BITS_PER_BYTE = 8


class Crash(BaseException):
    """Signals that the process, or its machine, fails here."""


@dataclass(slots=True)
class _File:
    """Holds a file as programs see it, and as it would be after a loss of power."""

    cached: bytearray
    durable: bytearray
    dirty_sectors: set[int] = field(default_factory=set)

    def copy(self) -> _File:
        return _File(bytearray(self.cached), bytearray(self.durable), set(self.dirty_sectors))


class Disk:
    """Holds the files of one gateway, which remain when its processes end.

    `capacity` is in bytes. `calls` counts the points at which the process may fail, `crash_at_call` is the
    one at which it does, 0 for none. `sync_failure_rate` is the part of syncs that fail.
    """

    def __init__(self, rng: random.Random, capacity: int = 1 << 40) -> None:
        self.rng = rng
        self.capacity = capacity
        self.files: dict[str, _File] = {}
        self.removed: dict[str, _File] = {}  # files whose removal a loss of power may undo
        self.calls = 0
        self.crash_at_call = 0
        self.sync_failure_rate = 0.0
        self.read_only = False

    def count_call(self) -> None:
        """Counts a point at which the process may fail, before or within a call; may raise `Crash`."""
        self.calls += 1
        if self.crash_at_call and self.calls >= self.crash_at_call:
            self.crash_at_call = 0
            raise Crash

    def used_bytes(self) -> int:
        """Returns the size of all files."""
        return sum(len(file.cached) for file in self.files.values())

    def lose_power(self) -> None:
        """Writes, loses or tears each sector that was not synced, and undoes some removals."""
        for name, file in list(self.removed.items()):
            if name not in self.files and self.rng.random() < 0.5:
                self.files[name] = file
        self.removed.clear()
        for file in self.files.values():
            for sector in file.dirty_sectors:
                start = sector * SECTOR
                end = start + self.rng.choice((0, SECTOR, SECTOR, self.rng.randint(0, SECTOR)))
                file.durable[start:end] = file.cached[start:end]
            file.cached[:] = file.durable
            file.dirty_sectors.clear()

    def flip_bit(self, name: str, offset: int) -> None:
        """Flips a random bit of one byte of a file."""
        file = self.files[name]
        bit = 1 << self.rng.randrange(BITS_PER_BYTE)
        file.cached[offset] ^= bit
        file.durable[offset] ^= bit

    def copy(self) -> Disk:
        """Returns another disk with the same files."""
        other = Disk(self.rng, self.capacity)
        other.files = {name: file.copy() for name, file in self.files.items()}
        return other


class _Area:
    """Implements `storage.interfaces.Area` for an open file."""

    def __init__(self, disk: Disk, file: _File) -> None:
        self._disk = disk
        self._file = file

    def write(self, at: int, data: bytes) -> None:
        self._disk.count_call()
        self._file.cached[at : at + len(data)] = data
        self._file.dirty_sectors.update(range(at // SECTOR, (at + len(data) - 1) // SECTOR + 1))

    def read(self, at: int = 0, size: int | None = None) -> bytes:
        return bytes(self._file.cached[at:] if size is None else self._file.cached[at : at + size])

    def sync(self) -> None:
        disk, file = self._disk, self._file
        disk.count_call()
        if disk.read_only or disk.rng.random() < disk.sync_failure_rate:
            file.dirty_sectors.clear()  # as in Linux: the next sync succeeds, though nothing was written
            raise OSError(errno.EIO, "Input/output error")
        for sector in file.dirty_sectors:
            start = sector * SECTOR
            end = start + SECTOR
            file.durable[start:end] = file.cached[start:end]
        file.dirty_sectors.clear()
        disk.count_call()

    def close(self) -> None: ...


class VirtualFiles:
    """Implements `storage.interfaces.Files` on a `Disk`."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk

    def _check_writable(self, size: int) -> None:
        self.disk.count_call()
        if self.disk.read_only:
            raise OSError(errno.EROFS, "Read-only file system")
        if self.disk.used_bytes() + size > self.disk.capacity:
            raise OSError(errno.ENOSPC, "No space left on device")

    def names(self) -> list[str]:
        """Returns the names of all files, sorted."""
        return sorted(self.disk.files)

    def create(self, name: str, size: int) -> _Area:
        """Creates a file of `size` zero bytes; raises `OSError`."""
        self._check_writable(size)
        file = self.disk.files[name] = _File(bytearray(size), bytearray(size))
        self.disk.count_call()
        return _Area(self.disk, file)

    def open(self, name: str) -> _Area:
        """Opens an existing file; raises `FileNotFoundError`."""
        if name not in self.disk.files:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", name)
        return _Area(self.disk, self.disk.files[name])

    def load(self, name: str) -> bytes | None:
        """Returns the contents of a file, or None if it does not exist."""
        file = self.disk.files.get(name)
        return bytes(file.cached) if file is not None else None

    def replace(self, name: str, data: bytes) -> None:
        """Writes a file atomically; raises `OSError`."""
        self._check_writable(len(data))
        self.disk.files[name] = _File(bytearray(data), bytearray(data))
        self.disk.count_call()

    def remove(self, name: str) -> None:
        """Removes a file if it exists; a loss of power may undo the removal."""
        self.disk.count_call()
        if (file := self.disk.files.pop(name, None)) is not None:
            self.disk.removed[name] = file
