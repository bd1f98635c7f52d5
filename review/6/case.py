"""Case 6: a second answer that a node writes some milliseconds late is given to another customer."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig2

GATEWAYS, BACKENDS = 3, 9
CLIENTS, CALLS = 6, 240
VALUE_BYTES = 300
LATE_S = 0.005  # of a second answer, after the first
SPOILT = 10  # one answer in this many is followed by a second one
PAUSE_S = 0.025  # of a client between an answer and its next request
WAIT_MS = 2000


async def body(case: rig2.Case) -> list[str]:
    """Runs the case; returns the breaks of the rule."""
    answers = 0

    async def write_again(
        backend: rig2.Backend, writer: asyncio.StreamWriter, number: str, data: bytes
    ) -> None:
        await asyncio.sleep(LATE_S)
        if not writer.is_closing():
            case.record("second answer written", backend.name, number)
            writer.write(data)

    def prepare(backend: rig2.Backend) -> None:
        backend.holds_small_writes = True

        async def serve(command: rig2.Command, writer: asyncio.StreamWriter) -> bytes | None:
            nonlocal answers
            await asyncio.sleep(0.05)
            answer = rig2.served(f"{command.id}|".encode().ljust(VALUE_BYTES, b"."))
            answers += 1
            if case.trouble and answers % SPOILT == 0:
                case.spawn(write_again(backend, writer, command.id, answer))
            return answer

        backend.serve = serve

    await case.fleet(GATEWAYS, BACKENDS, prepare=prepare)
    broken: list[str] = []

    async def one(place: int) -> None:
        client = await rig2.Client(case, case.gateways[place % GATEWAYS]).open()
        for n in range(CALLS):
            number, tenant = f"q-{place}-{n}", 1000 * place + n + 1
            client.send(rig2.call("rate-lookup", number, tenant, WAIT_MS, "basic", GATEWAYS), number)
            answer = await client.answer(number)
            if answer is not None and answer[:1] == b"$":
                made_for = answer[1:].partition(b"|")[0].decode()
                if made_for != number:
                    broken.append(f"{number} of customer {tenant} was served with the value for {made_for}")
            await asyncio.sleep(PAUSE_S)
        client.writer.close()

    await asyncio.gather(*(one(place) for place in range(CLIENTS)))
    return broken


rig2.Case(__file__).run(body)
