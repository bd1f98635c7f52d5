"""Runs a gateway's ledger with a thread for the disk, a task for billing, and the clock.

The ledger's disk calls are performed one at a time in a thread of their own, so that a slow disk never blocks
the event loop.
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
from .record import Ending, to_nano_units
from .senders import Sender, SendError

log = logging.getLogger(__name__)

MIN_POLL_S = 0.01  # shortest interval between two polls of the ledger for its next call
MAX_POLL_S = 0.25
POLLS_PER_COMMIT = 2
STOP_TIMEOUT_S = 5.0  # limit for the last commit of a gateway that stops
PROGRESS_S = 1.0  # interval between two reports on the progress of an export
NS_PER_S = 1_000_000_000
NS_PER_MS = 1_000_000
EXPORT_BOUNDS = Bounds(64, 4, 0, 0, "fold")  # bounds of a ledger that records nothing


def _close(areas: list[Area]) -> None:
    for area in areas:
        area.close()


def _ignore_progress(ledger: UsageLedger) -> None:
    """Does nothing; this is the default of `export_all`."""


class UsageHost:
    """Runs one gateway's ledger on a real folder, with a real sender."""

    def __init__(
        self,
        folder: Path,
        bounds: Bounds,
        names: Names,
        now: Callable[[], int],
        sender: Sender | None,
        write: bool = True,
    ) -> None:
        """Creates a host that does nothing before `start`.

        `now` is a clock in ns. Without a `sender` nothing is exported; without `write` nothing is
        recorded.
        """
        self.ledger = UsageLedger(bounds, names, random.SystemRandom(), write)
        self._folder = folder
        self._now = now
        self._sender = sender
        self._files: Directory | None = None
        self._disk = ThreadPoolExecutor(1, thread_name_prefix="use")
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._sending: asyncio.Task[None] | None = None
        self._stopped = asyncio.Event()
        self._abandoned = False
        poll_s = bounds.commit_delay_ns / (POLLS_PER_COMMIT * NS_PER_S)
        self._poll_s = min(MAX_POLL_S, max(MIN_POLL_S, poll_s))

    def start(self) -> None:
        """Starts to poll the ledger."""
        self._poll()

    def count(
        self,
        ending: Ending,
        request_class: int,
        plan: int,
        plan_version: int,
        tenant: int,
        units: float,
        attempts: int,
    ) -> None:
        """Records one request's final answer.

        It is to be called before the answer is written, so that no answer is without a record.
        """
        time_ms = time.time_ns() // NS_PER_MS
        self.ledger.count(
            self._now(),
            time_ms,
            ending,
            request_class,
            plan,
            plan_version,
            tenant,
            to_nano_units(units),
            attempts,
        )

    def _poll(self) -> None:
        self._advance()
        if not self.ledger.is_stopped:
            self._timer = self._loop.call_later(self._poll_s, self._poll)

    def _advance(self) -> None:
        """Starts the next disk call and the next batch if they are due, and logs the alarms."""
        ledger, now = self.ledger, self._now()
        if (call := ledger.next_call(now)) is not None:
            self._disk.submit(self._perform, call)
        if self._sender is not None and (post := ledger.next_post(now)) is not None:
            self._sending = self._loop.create_task(self._send(self._sender, post))
        for text in ledger.alarms:
            log.warning("%s", text)
        ledger.alarms.clear()
        if ledger.is_stopped:
            self._stopped.set()

    def _perform(self, call: Call) -> None:
        """Performs a call in the disk's thread and passes its result to the event loop."""
        result: Result | OSError
        try:
            if self._files is None:
                if not isinstance(call, InspectFolder):
                    raise OSError(errno.EBADF, "the folder is not open")
                self._files = Directory(self._folder)
            result = perform(self._files, call)
        except OSError as error:
            if error.errno == errno.EWOULDBLOCK:
                error = OSError(errno.EWOULDBLOCK, f"{self._folder} is in use by another process")
            result = error
        except Exception as error:  # the ledger must get a result in any case
            log.exception("use: the disk call %s failed", type(call).__name__)
            result = OSError(errno.EIO, str(error))
        self._loop.call_soon_threadsafe(self._call_done, result)

    def _call_done(self, result: Result | OSError) -> None:
        if self._abandoned:
            return
        self.ledger.call_done(self._now(), result)
        if areas := self.ledger.take_released_areas():
            self._disk.submit(_close, areas)
        # The next call does not wait for the next poll, because recovery is a chain of calls.
        self._advance()

    async def _send(self, sender: Sender, post: Post) -> None:
        exporter = self.ledger.exporter
        try:
            reply = await sender.send(post)
        except SendError as error:
            exporter.send_failed(self._now(), str(error), error.retry_after_ns, error.final)
        except TimeoutError:
            exporter.send_failed(self._now(), "billing did not reply in time")
        except OSError as error:
            exporter.send_failed(self._now(), f"billing can't be reached: {error.strerror or error}")
        except Exception as error:
            log.exception("use: sending a batch of usage records to billing failed, retried after a pause")
            exporter.send_failed(self._now(), str(error))
        else:
            if exporter.stage is Stage.SENT:
                exporter.reply_received(self.ledger.checkpoint, reply)
                self._advance()

    async def stop(self) -> None:
        """Commits every record within `STOP_TIMEOUT_S` and closes; logs what could not be committed."""
        self.ledger.close()
        self._advance()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._stopped.wait()
        except TimeoutError:
            journal = self.ledger.journal
            log.error(
                "use: the last commit did not end in time: %d records are not committed, %d sums are lost",
                len(journal.pending) if journal is not None else 0,
                len(self.ledger.meter.sums),
            )
        await self.abandon()

    async def abandon(self) -> None:
        """Stops without a commit, as a crash would; the folder is unlocked on return."""
        self._abandoned = True
        if self._timer is not None:
            self._timer.cancel()
        if self._sending is not None:
            self._sending.cancel()
        if (files := self._files) is not None:
            self._disk.submit(files.close)
        await asyncio.to_thread(self._disk.shutdown)


async def export_all(
    folder: Path,
    sender: Sender,
    timeout_s: float,
    on_progress: Callable[[UsageLedger], None] = _ignore_progress,
) -> UsageLedger:
    """Exports what a gateway left in its folder, while the gateway does not run.

    Calls `on_progress` once a second. Returns the ledger as it is at the end; its `is_all_exported` says
    whether all records were sent.
    """
    host = UsageHost(folder, EXPORT_BOUNDS, Names("", (), ()), time.monotonic_ns, sender, write=False)
    host.start()
    deadline, next_report = time.monotonic() + timeout_s, 0.0
    ledger = host.ledger
    while not ledger.is_all_exported and not ledger.is_stopped and time.monotonic() < deadline:
        await asyncio.sleep(MIN_POLL_S)
        if time.monotonic() >= next_report:
            next_report = time.monotonic() + PROGRESS_S
            on_progress(ledger)
    await host.abandon()
    return ledger
