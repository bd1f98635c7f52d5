"""Watches the resident size of the process and its sockets' memory beside the account.

It runs the timer and reads the measurements. It decides nothing.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from ..logs import RateLimitFilter
from .account import MemoryAccount
from .overload import Overload
from .process import socket_bytes

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

SAMPLE_INTERVAL_S = 0.1
SOCKET_SAMPLES = 10  # samples of the process for one of all sockets, which costs a system call for each
MAX_UNACCOUNTED_BYTES = 3 << 20  # of the process beyond its base and its account
MIN_RETURN_BYTES = 1 << 20  # by which a return of free memory is useful
MIN_RETURN_SAMPLES = 5  # between two returns
MAX_RETURN_SAMPLES = 300


class ProcessMemory(Protocol):
    """Measures one process, and returns its free memory to the system."""

    def resident_bytes(self) -> int:
        """Returns the resident size, or 0 if it is not known."""

    def return_free_memory(self) -> None:
        """Returns free pages to the system."""


class UnmeasuredProcess:
    """Stands for a process whose size says nothing about the gateway, such as one that runs tests."""

    def resident_bytes(self) -> int:
        """Returns 0: the size is not known."""
        return 0

    def return_free_memory(self) -> None:
        """Returns nothing, as other parts of the process use its memory too."""


@dataclass(frozen=True, slots=True)
class MemoryFigures:
    """Holds sizes in bytes; `peak` is the highest resident size since the figures before."""

    resident: int
    peak: int
    account: int
    capacity: int
    sockets: int
    stage: int
    ended: int  # owners that gave up memory


class FreeMemoryReturn:
    """Decides when free memory is returned: if the process is larger than its base and its account say.

    A return that changes nothing is repeated ever less often, as it visits the whole heap.
    """

    def __init__(self) -> None:
        self._samples_left = 0
        self._interval = MIN_RETURN_SAMPLES

    def is_due(self, unaccounted_bytes: int) -> bool:
        """Returns whether to return memory at this sample."""
        self._samples_left -= 1
        return unaccounted_bytes > MAX_UNACCOUNTED_BYTES and self._samples_left <= 0

    def returned(self, freed_bytes: int) -> None:
        """Notes by how much the process got smaller."""
        is_useful = freed_bytes >= MIN_RETURN_BYTES
        self._interval = MIN_RETURN_SAMPLES if is_useful else min(MAX_RETURN_SAMPLES, 2 * self._interval)
        self._samples_left = self._interval


class MemoryMonitor:
    """Samples the process at a fixed interval."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        account: MemoryAccount,
        overload: Overload,
        process: ProcessMemory,
        base_bytes: int,
        sockets: Callable[[], Iterable[socket.socket]],
    ) -> None:
        """Prepares the samples.

        `base_bytes` is the size of the process without clients, `sockets` returns those of all connections.
        """
        self._loop = loop
        self._account = account
        self._overload = overload
        self._is_relief_scheduled = False
        account.when_over(self._schedule_relief)
        self._process = process
        self._sockets = sockets
        self._timer: asyncio.TimerHandle | None = None
        self._samples = 0
        self._peak_bytes = 0
        self._socket_bytes = 0
        self._base_bytes = base_bytes
        self._return = FreeMemoryReturn()

    def start(self) -> None:
        """Begins to sample."""
        self._sample()

    def stop(self) -> None:
        """Ends the samples."""
        if self._timer is not None:
            self._timer.cancel()

    def capacity_changed(self) -> None:
        """Has memory given up at once, and returned to the system once the ended connections are closed."""
        self._account.refresh()
        self._follow()
        self._loop.call_soon(self._process.return_free_memory)

    def _sample(self) -> None:
        self._timer = self._loop.call_later(SAMPLE_INTERVAL_S, self._sample)
        self._account.refresh()
        resident = self._process.resident_bytes()
        self._peak_bytes = max(self._peak_bytes, resident)
        if self._return.is_due(resident - self._base_bytes - self._account.used_bytes):
            self._process.return_free_memory()
            resident_before, resident = resident, self._process.resident_bytes()
            self._return.returned(resident_before - resident)
        self._overload.unaccounted_bytes = max(0, resident - self._base_bytes - self._account.used_bytes)
        self._follow()
        if self._samples % SOCKET_SAMPLES == 0:
            self._socket_bytes = sum(map(socket_bytes, self._sockets()))
        self._samples += 1

    def _schedule_relief(self) -> None:
        """Has memory given up in the loop's next turn: an owner must not end while it reports its size."""
        if not self._is_relief_scheduled:
            self._is_relief_scheduled = True
            self._loop.call_soon(self._relieve)

    def _relieve(self) -> None:
        self._is_relief_scheduled = False
        self._follow()

    def _follow(self) -> None:
        """Follows the account's stage, and has the largest owners give up memory in the last one."""
        overload, account = self._overload, self._account
        if overload.update():
            log.warning(
                "memory: stage %s, %d of %d KB kept, %d KB not accounted for, by %d owners",
                overload.stage.name,
                overload.used_bytes >> 10,
                account.capacity_bytes >> 10,
                overload.unaccounted_bytes >> 10,
                account.owners(),
            )
        if overload.used_bytes >= account.capacity_bytes and (ended := overload.relieve()):
            log.warning("memory: %d of the largest owners gave up memory", ended)

    def figures(self) -> MemoryFigures:
        """Returns the present figures."""
        resident = self._process.resident_bytes()
        return MemoryFigures(
            resident,
            max(self._peak_bytes, resident),
            self._account.used_bytes,
            self._account.capacity_bytes,
            self._socket_bytes,
            int(self._overload.stage),
            self._overload.ended,
        )

    def take_figures(self) -> MemoryFigures:
        """Returns the present figures, and begins a new time for the peak."""
        figures = self.figures()
        self._peak_bytes = 0
        return figures
