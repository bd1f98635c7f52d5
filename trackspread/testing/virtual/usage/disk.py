"""A disk that forgets: what was not synced is lost sector by sector, and any call may be the last one.

May know: the seam of files. May not know: what is written. Its faults are those that disks have: power lost
in the middle of a call, a sync that fails and drops what it was for, no room, no writing at all, a flipped
bit, a removal that comes undone, an old copy brought back.
"""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, field

SECTOR = 512  # bytes that a disk writes in one piece; of the one being written, any part may be there


class Crash(BaseException):
    """The process, or its machine, ends here."""


@dataclass(slots=True)
class _File:
    cached: bytearray
    durable: bytearray
    dirty: set[int] = field(default_factory=set)  # sectors

    def copy(self) -> _File:
        return _File(bytearray(self.cached), bytearray(self.durable), set(self.dirty))


class Disk:
    """The hardware under one gateway, life after life. `calls` counts what could have been the last one."""

    def __init__(self, rng: random.Random, capacity: int = 1 << 40) -> None:
        self.rng = rng
        self.capacity = capacity
        self.files: dict[str, _File] = {}
        self.removed: dict[str, _File] = {}  # gone from the folder, not yet from the disk
        self.calls = 0
        self.crash_at = 0  # the call that is the last one; 0 for none
        self.failing = 0.0  # part of the syncs that fail
        self.read_only = False

    def step(self) -> None:
        """Before and within each call: the process may end here."""
        self.calls += 1
        if self.crash_at and self.calls >= self.crash_at:
            self.crash_at = 0
            raise Crash

    def used(self) -> int:
        return sum(len(file.cached) for file in self.files.values())

    def lose_power(self) -> None:
        """What was not synced is there or not, each sector by itself; the one under the head may be torn."""
        for name, file in list(self.removed.items()):
            if name not in self.files and self.rng.random() < 0.5:
                self.files[name] = file
        self.removed.clear()
        for file in self.files.values():
            for sector in file.dirty:
                at = sector * SECTOR
                kept = self.rng.choice((0, SECTOR, SECTOR, self.rng.randint(0, SECTOR)))
                file.durable[at : at + kept] = file.cached[at : at + kept]
            file.cached[:] = file.durable
            file.dirty.clear()

    def flip(self, name: str, at: int) -> None:
        file = self.files[name]
        bit = 1 << self.rng.randrange(8)
        file.cached[at] ^= bit
        file.durable[at] ^= bit

    def copy(self) -> Disk:
        other = Disk(self.rng, self.capacity)
        other.files = {name: file.copy() for name, file in self.files.items()}
        return other


class _Area:
    def __init__(self, disk: Disk, file: _File) -> None:
        self._disk = disk
        self._file = file

    def write(self, at: int, data: bytes) -> None:
        self._disk.step()
        self._file.cached[at : at + len(data)] = data
        self._file.dirty.update(range(at // SECTOR, (at + len(data) - 1) // SECTOR + 1))

    def read(self, at: int = 0, size: int | None = None) -> bytes:
        return bytes(self._file.cached[at:] if size is None else self._file.cached[at : at + size])

    def sync(self) -> None:
        disk, file = self._disk, self._file
        disk.step()
        if disk.read_only or disk.rng.random() < disk.failing:
            file.dirty.clear()  # the system takes them for written: a second sync promises nothing
            raise OSError(errno.EIO, "Input/output error")
        for sector in file.dirty:
            at = sector * SECTOR
            file.durable[at : at + SECTOR] = file.cached[at : at + SECTOR]
        file.dirty.clear()
        disk.step()

    def close(self) -> None: ...


class VirtualFiles:
    """`Files` on a `Disk`."""

    def __init__(self, disk: Disk) -> None:
        self.disk = disk

    def _writable(self, size: int) -> None:
        self.disk.step()
        if self.disk.read_only:
            raise OSError(errno.EROFS, "Read-only file system")
        if self.disk.used() + size > self.disk.capacity:
            raise OSError(errno.ENOSPC, "No space left on device")

    def names(self) -> list[str]:
        return sorted(self.disk.files)

    def create(self, name: str, size: int) -> _Area:
        self._writable(size)
        file = self.disk.files[name] = _File(bytearray(size), bytearray(size))
        self.disk.step()
        return _Area(self.disk, file)

    def open(self, name: str) -> _Area:
        if name not in self.disk.files:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", name)
        return _Area(self.disk, self.disk.files[name])

    def load(self, name: str) -> bytes | None:
        file = self.disk.files.get(name)
        return bytes(file.cached) if file is not None else None

    def replace(self, name: str, data: bytes) -> None:
        self._writable(len(data))
        self.disk.files[name] = _File(bytearray(data), bytearray(data))
        self.disk.step()

    def remove(self, name: str) -> None:
        self.disk.step()
        if (file := self.disk.files.pop(name, None)) is not None:
            self.disk.removed[name] = file
