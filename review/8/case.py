"""Case 8: SIGKILL of a planned restart finds requests unanswered, as a backend hangs through the shutdown."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig2

GATEWAYS, BACKENDS, HANGING = 3, 9, 4
CLIENTS = 16
DEADLINE_MS = 5000  # of usage-submit: the longest of the settings
LATE_S = 1.0  # after SIGTERM: when clients send once more on the connections that stayed open
KILL_S = (
    3.8  # after SIGTERM; SIGKILL comes no sooner than 3.7 s: 3 s at most for the deadline, and 0.7 s more
)


async def hang(command: rig2.Command, writer: asyncio.StreamWriter) -> None:
    """Takes a command and never answers, as a hanging backend does."""
    await asyncio.sleep(60)


class Sender:
    """Holds one connection of the front, and which of its requests have their answers, in order."""

    def __init__(self, case: rig2.Case, client: rig2.Client, place: int) -> None:
        self.case = case
        self.client = client
        self.place = place
        self.waiting: list[str] = []
        self.ended_at: float | None = None

    def send(self, name: str, number: str, tenant: int, wait_ms: int) -> None:
        """Sends a request."""
        self.waiting.append(number)
        self.client.send(rig2.call(name, number, tenant, wait_ms, "basic", GATEWAYS), number)

    async def read(self) -> None:
        """Reads answers until the connection ends."""
        while True:
            number = self.waiting[0] if self.waiting else "(none is awaited)"
            if await self.client.answer(number) is None:
                self.ended_at = self.case.record.now()
                return
            self.waiting.pop(0)


async def body(case: rig2.Case) -> list[str]:
    """Runs the case; returns the breaks of the rule."""
    await case.fleet(GATEWAYS, BACKENDS)
    gateway = case.gateways[0]
    senders = [Sender(case, await rig2.Client(case, gateway).open(), n) for n in range(CLIENTS)]
    readers = [case.spawn(sender.read()) for sender in senders]
    # Ordinary traffic first, so that the gateway knows its backends.
    for turn in range(4):
        for sender in senders:
            number = f"warm-{turn}-{sender.place}"
            sender.send("rate-lookup", number, 100 + CLIENTS * turn + sender.place, 2000)
        await asyncio.sleep(0.5)
    if case.trouble:
        for backend in case.backends[:HANGING]:
            case.record("hangs from here on", backend.name)
            backend.serve = hang
    for sender in senders:
        sender.send("usage-submit", f"use-{sender.place}", 1000 + sender.place, DEADLINE_MS)
    await asyncio.sleep(0.3)
    gateway.send_signal(signal.SIGTERM)
    await asyncio.sleep(LATE_S)
    late = []
    for sender in senders:
        if sender.ended_at is None:
            late.append(f"late-{sender.place}")
            sender.send("rate-lookup", late[-1], 2000 + sender.place, 2000)
    await asyncio.sleep(KILL_S - LATE_S)
    process = gateway.process
    assert process is not None
    case.record("gateway still runs at SIGKILL:", process.returncode is None)
    killed_at = case.record.now()
    gateway.send_signal(signal.SIGKILL)
    await process.wait()
    await asyncio.gather(*readers)
    broken = []
    for sender in senders:
        # A connection that ended sooner may have crossed the request, which the client then sends elsewhere.
        if sender.ended_at is None or sender.ended_at < killed_at:
            continue
        for number in sender.waiting:
            case.record("unanswered at SIGKILL:", number)
            if number in late:
                broken.append(
                    f"{number}: sent {LATE_S} s after SIGTERM, unanswered at SIGKILL {KILL_S} s after it"
                )
    return broken


rig2.Case(__file__).run(body)
