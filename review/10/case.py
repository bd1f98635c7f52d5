"""Case 10: a client that takes some seconds to read loses answers that were ready."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig2

GATEWAYS, BACKENDS = 3, 9
VALUE_BYTES, DEPTH = 60 << 10, 12
PAUSE_S = 3.0


async def body(case: rig2.Case) -> list[str]:
    """Runs the case; returns the breaks of the rule."""

    def prepare(backend: rig2.Backend) -> None:
        async def serve(command: rig2.Command, writer: asyncio.StreamWriter) -> bytes | None:
            await asyncio.sleep(0.1)
            return rig2.served(command.id.encode().ljust(VALUE_BYTES, b"."))

        backend.serve = serve

    await case.fleet(GATEWAYS, BACKENDS, prepare=prepare)
    broken = []

    async def one(turn: int) -> None:
        client = await rig2.Client(case, case.gateways[turn % GATEWAYS]).open()
        client.writer.transport.pause_reading()
        numbers = [f"use-{turn}-{n}" for n in range(DEPTH)]
        for n, number in enumerate(numbers):
            client.send(rig2.call("usage-submit", number, 100 * turn + n, 5000, "basic", GATEWAYS), number)
        if case.trouble:
            await asyncio.sleep(PAUSE_S)
        client.writer.transport.resume_reading()
        for number in numbers:
            if await client.answer(number) is None:
                broken.append(f"{number}: taken, and its connection ended with no whole answer")
        client.writer.close()

    await asyncio.gather(*(one(turn) for turn in range(3)))
    return broken


rig2.Case(__file__).run(body)
