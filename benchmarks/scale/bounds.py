"""What a scale run may use of its machine, and the guard that keeps it within.

May know: `/proc`. May not know: what the processes do.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

PROCESSES_MOST = 200  # of one run, itself included
MEMORY_MOST = 12 << 30  # bytes resident in all of them together
PAGE = os.sysconf("SC_PAGE_SIZE")


class OverBound(Exception):
    """The run would pass, or has passed, one of its bounds; the text says which, found and wanted."""


class Use(NamedTuple):
    """Of a tree of processes: how many there are, and the bytes resident in all of them."""

    processes: int
    memory: int


class ProcessEntry(NamedTuple):
    """One process as `/proc` tells of it."""

    pid: int
    parent: int
    memory: int  # bytes resident


def resident(pid: int) -> int:
    """Bytes that a process holds resident; 0 for one that is gone."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE
    except (OSError, IndexError):
        return 0


def processes() -> list[ProcessEntry]:
    """All that `/proc` names at this moment."""
    found = []
    for path in Path("/proc").glob("[0-9]*"):
        try:
            fields = (path / "stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        found.append(ProcessEntry(int(path.name), int(fields[1]), int(fields[21]) * PAGE))
    return found


def tree(root: int, entries: Iterable[ProcessEntry]) -> Use:
    """What `root` and all that descends from it use."""
    children: dict[int, list[ProcessEntry]] = {}
    memory = 0
    for entry in entries:
        children.setdefault(entry.parent, []).append(entry)
        if entry.pid == root:
            memory = entry.memory
    count, waiting = 1, [root]
    while waiting:
        for child in children.get(waiting.pop(), []):
            count += 1
            memory += child.memory
            waiting.append(child.pid)
    return Use(count, memory)


class Guard:
    """Looks at what this run uses, remembers the most of it, and refuses what lies beyond its bounds."""

    def __init__(
        self,
        processes_most: int = PROCESSES_MOST,
        memory_most: int = MEMORY_MOST,
        look: Callable[[], Iterable[ProcessEntry]] = processes,
        root: int | None = None,
    ) -> None:
        self.processes_most, self.memory_most = processes_most, memory_most
        self._look, self._root = look, os.getpid() if root is None else root
        self.most = Use(1, 0)

    def check(self) -> Use:
        """What is used now. Raises `OverBound` where that is too much."""
        use = tree(self._root, self._look())
        self.most = Use(max(self.most.processes, use.processes), max(self.most.memory, use.memory))
        if use.processes > self.processes_most:
            raise OverBound(f"processes: found {use.processes}, wanted at most {self.processes_most}")
        if use.memory > self.memory_most:
            raise OverBound(
                f"memory: found {use.memory / 2**30:.1f} GB, wanted at most {self.memory_most / 2**30:.1f} GB"
            )
        return use

    def admit(self, more: int) -> None:
        """Before so many processes are started. Raises `OverBound` where they would be too many."""
        wanted = self.check().processes + more
        if wanted > self.processes_most:
            raise OverBound(f"processes: {wanted} would run, wanted at most {self.processes_most}")
