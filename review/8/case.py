"""Case 8: a planned restart beside hanging backends leaves requests without a final answer."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig2

GATEWAYS, BACKENDS, HANGING = 3, 9, 4
DEADLINE_MS = 5000  # of usage-submit: the longest of the settings
KILL_AFTER_S = 3.7  # SIGKILL comes no sooner: 3 s at most for the longest deadline, and 0.7 s more


async def hang(command: rig2.Command, writer: object) -> None:
    """Takes a command and never answers, as a hanging backend does."""
    await asyncio.sleep(60)


async def body(case: rig2.Case) -> list[str]:
    """Runs the case; returns the breaks of the rule."""
    await case.fleet(GATEWAYS, BACKENDS)
    gateway = case.gateways[0]
    clients = [await rig2.Client(case, gateway).open() for _ in range(16)]

    async def one(client: rig2.Client, name: str, number: str, tenant: int, wait_ms: int) -> bytes | None:
        client.send(rig2.call(name, number, tenant, wait_ms, "basic", GATEWAYS), number)
        return await client.answer(number)

    # Ordinary traffic first, so that the gateway knows its backends.
    for turn in range(4):
        calls = [
            one(client, "rate-lookup", f"warm-{turn}-{n}", 100 + 16 * turn + n, 2000)
            for n, client in enumerate(clients)
        ]
        await asyncio.gather(*calls)
    if case.trouble:
        for backend in case.backends[:HANGING]:
            case.record("hangs from here on", backend.name)
            backend.serve = hang
    answers: dict[str, bytes | None] = {}

    async def keep(client: rig2.Client, number: str, tenant: int) -> None:
        answers[number] = await one(client, "usage-submit", number, tenant, DEADLINE_MS)

    waiting = [case.spawn(keep(client, f"use-{n}", 1000 + n)) for n, client in enumerate(clients)]
    await asyncio.sleep(0.3)
    gateway.send_signal(signal.SIGTERM)
    await asyncio.sleep(KILL_AFTER_S + 0.1)
    process = gateway.process
    assert process is not None
    was_running = process.returncode is None
    gateway.send_signal(signal.SIGKILL)
    await process.wait()
    await asyncio.gather(*waiting)
    case.record("gateway still ran at SIGKILL:", was_running)
    return [
        f"{number}: taken before SIGTERM, unanswered when SIGKILL came {KILL_AFTER_S + 0.1:.1f} s later"
        for number, answer in answers.items()
        if answer is None
    ]


rig2.Case(__file__).run(body)
