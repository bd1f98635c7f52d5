"""Limits the processes and the memory that a scale run may use.

The module reads `/proc`; it does not know what the processes do.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

MAX_PROCESSES = 200  # Of one run, including itself.
MAX_MEMORY_BYTES = 12 << 30  # Resident in all processes of a run together.
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class OverBound(Exception):
    """Reports a run that exceeds, or would exceed, one of its limits, with the limit and the value."""


class Use(NamedTuple):
    """Holds the number of processes in a tree and the bytes resident in all of them."""

    processes: int
    memory: int


class ProcessEntry(NamedTuple):
    """Describes one process as `/proc` lists it."""

    pid: int
    parent: int
    memory: int  # Resident bytes.


def resident(pid: int) -> int:
    """Returns the resident bytes of a process, or 0 if it has ended."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
    except (OSError, IndexError):
        return 0


def processes() -> list[ProcessEntry]:
    """Returns all processes that `/proc` lists now."""
    found = []
    for path in Path("/proc").glob("[0-9]*"):
        try:
            fields = (path / "stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        found.append(ProcessEntry(int(path.name), int(fields[1]), int(fields[21]) * PAGE_BYTES))
    return found


def tree(root: int, entries: Iterable[ProcessEntry]) -> Use:
    """Returns the use of `root` and all its descendants."""
    children: dict[int, list[ProcessEntry]] = {}
    memory = 0
    for entry in entries:
        children.setdefault(entry.parent, []).append(entry)
        if entry.pid == root:
            memory = entry.memory
    count, pending = 1, [root]
    while pending:
        for child in children.get(pending.pop(), []):
            count += 1
            memory += child.memory
            pending.append(child.pid)
    return Use(count, memory)


class Guard:
    """Checks the use of this run against its limits and keeps the largest use."""

    def __init__(
        self,
        processes_most: int = MAX_PROCESSES,
        memory_most: int = MAX_MEMORY_BYTES,
        look: Callable[[], Iterable[ProcessEntry]] = processes,
        root: int | None = None,
    ) -> None:
        self.processes_most, self.memory_most = processes_most, memory_most
        self._look, self._root = look, os.getpid() if root is None else root
        self.most = Use(1, 0)

    def check(self) -> Use:
        """Returns the current use. Raises `OverBound` if it exceeds a limit."""
        use = tree(self._root, self._look())
        self.most = Use(max(self.most.processes, use.processes), max(self.most.memory, use.memory))
        if use.processes > self.processes_most:
            raise OverBound(f"processes: must be at most {self.processes_most}, got {use.processes}")
        if use.memory > self.memory_most:
            raise OverBound(
                f"memory: must be at most {self.memory_most / 2**30:.1f} GB, got {use.memory / 2**30:.1f} GB"
            )
        return use

    def admit(self, more: int) -> None:
        """Checks that `more` processes may be started. Raises `OverBound` if they would be too many."""
        total = self.check().processes + more
        if total > self.processes_most:
            raise OverBound(f"processes: must be at most {self.processes_most}, would be {total}")
