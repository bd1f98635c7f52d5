"""Use records of a running gateway: a thread for the disk, a task for billing, and the clock.

May know: loops, threads, the ledger. Decides nothing. The ledger's calls are carried out one at a time in a
thread of their own, so that a slow disk never holds the loop up.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import random
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from ..storage.calls import Call, InspectFolder, Result, perform
from ..storage.directory import Directory
from ..storage.interfaces import Area
from .control import Names
from .exporter import Post, Stage
from .ledger import Bounds, UsageLedger
from .record import Ending, nano
from .senders import Sender, SendError

log = logging.getLogger(__name__)

LOOK_LEAST, LOOK_MOST = 0.01, 0.25  # s between looks at what the ledger wants: half of a commit's wait
ENDING = 5.0  # s that a stopping gateway waits for its last commit
MILLISECOND = 1_000_000


def _close(areas: list[Area]) -> None:
    for area in areas:
        area.close()


class UseHost:
    """One gateway's ledger, on a real folder and a real way to billing."""

    def __init__(
        self,
        folder: Path,
        bounds: Bounds,
        names: Names,
        now: Callable[[], int],
        sender: Sender | None,
        write: bool = True,
    ) -> None:
        self.ledger = UsageLedger(bounds, names, random.SystemRandom(), write)
        self._folder = folder
        self._now = now
        self._sender = sender
        self._files: Directory | None = None
        self._disk = ThreadPoolExecutor(1, thread_name_prefix="use")
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._sending: asyncio.Task[None] | None = None
        self._over = asyncio.Event()
        self._abandoned = False
        self._look = min(LOOK_MOST, max(LOOK_LEAST, bounds.commit / 2e9))

    def start(self) -> None:
        """Begin to look at what the ledger wants."""
        self._pump()

    def count(
        self, ending: Ending, cls: int, plan: int, version: int, customer: int, units: float, attempts: int
    ) -> None:
        """One request's final answer; before the answer is written, so that no answer is without a record."""
        wall = time.time_ns() // MILLISECOND
        self.ledger.count(self._now(), wall, ending, cls, plan, version, customer, nano(units), attempts)

    def _pump(self) -> None:
        self._go_on()
        if not self.ledger.over:
            self._timer = self._loop.call_later(self._look, self._pump)

    def _go_on(self) -> None:
        """Whatever can be begun now is."""
        ledger, now = self.ledger, self._now()
        if (call := ledger.call(now)) is not None:
            self._disk.submit(self._perform, call)
        if self._sender is not None and (post := ledger.post(now)) is not None:
            self._sending = self._loop.create_task(self._send(self._sender, post))
        for text in ledger.alarms:
            log.warning("%s", text)
        ledger.alarms.clear()
        if ledger.over:
            self._over.set()

    def _perform(self, call: Call) -> None:
        """In the disk's thread."""
        result: Result | OSError
        try:
            if self._files is None:
                if not isinstance(call, InspectFolder):
                    raise OSError(errno.EBADF, "the folder is closed")
                self._files = Directory(self._folder)
            result = perform(self._files, call)
        except OSError as error:
            if error.errno == errno.EWOULDBLOCK:
                error = OSError(errno.EWOULDBLOCK, f"{self._folder} is another process's")
            result = error
        except Exception as error:  # whatever it was: the ledger must not wait for ever
            log.exception("fault in %s", type(call).__name__)
            result = OSError(errno.EIO, str(error))
        self._loop.call_soon_threadsafe(self._done, result)

    def _done(self, result: Result | OSError) -> None:
        if self._abandoned:
            return
        ledger = self.ledger
        ledger.done(self._now(), result)
        spent = ledger.spent
        ledger.spent = []
        if spent:
            self._disk.submit(_close, spent)
        # What follows at once is not made to wait for the next look: opening is a chain of calls.
        self._go_on()

    async def _send(self, sender: Sender, post: Post) -> None:
        exporter = self.ledger.exporter
        try:
            reply = await sender.send(post)
        except SendError as error:
            exporter.failed(self._now(), str(error), error.retry_in, error.final)
        except TimeoutError:
            exporter.failed(self._now(), "billing does not answer")
        except OSError as error:
            exporter.failed(self._now(), f"billing can't be reached: {error.strerror or error}")
        except Exception as error:
            log.exception("fault in sending to billing")
            exporter.failed(self._now(), str(error))
        else:
            if exporter.stage is Stage.SENT:
                exporter.answered(self.ledger.control, reply)
                self._go_on()

    async def stop(self) -> None:
        """Every record is on the disk when this returns, or `ENDING` has passed; what is left is told."""
        self.ledger.close()
        self._go_on()
        try:
            async with asyncio.timeout(ENDING):
                await self._over.wait()
        except TimeoutError:
            journal = self.ledger.journal
            log.error(
                "use: the disk took no more: %d records not committed, sums of %d members lost",
                len(journal.pending) if journal is not None else 0,
                len(self.ledger.meter.sums),
            )
        await self.abandon()

    async def abandon(self) -> None:
        """Whatever is under way is left as it is; the folder is free when this returns."""
        self._abandoned = True
        if self._timer is not None:
            self._timer.cancel()
        if self._sending is not None:
            self._sending.cancel()
        if (files := self._files) is not None:
            self._disk.submit(files.close)
        await asyncio.to_thread(self._disk.shutdown)


async def export_all(
    folder: Path, sender: Sender, most: float, told: Callable[[UsageLedger], None] = lambda ledger: None
) -> UsageLedger:
    """Sends what the lives of a gateway left in its folder, while none of them runs; gives the ledger as it
    was at the end: `exported` says whether all went. `most`: s it may take; `told`: called once a second."""
    host = UseHost(folder, Bounds(64, 4, 0, 0, "fold"), Names("", (), ()), time.monotonic_ns, sender, False)
    host.start()
    end, next_word = time.monotonic() + most, 0.0
    while not host.ledger.exported and not host.ledger.over and time.monotonic() < end:
        await asyncio.sleep(LOOK_LEAST)
        if time.monotonic() >= next_word:
            next_word = time.monotonic() + 1.0
            told(host.ledger)
    await host.abandon()
    return host.ledger
