"""Case 9: bodies that nodes read slowly let a customer pass its ceiling."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig2

GATEWAYS, BACKENDS, SPREAD = 3, 9, 2
RATE, BURST = 5.3, 6.36
CEILING_RATE, CEILING_BURST, CEILING_SLACK = 9.54, 11.448, 1.1448
EXTRA_S = 0.15  # on sockets the slack is wider by what the ceiling's rate gives in this time
SLOW_S = 3.0
TENANT = 0x5521
BODY = b"u" * (1 << 20)
PLANS = [
    rig2.plan("basic", 0.98, 5.0, 1.2, 1.0, (0.0, 0.0, 0.0)),
    rig2.plan("full", RATE, BURST, 1.6, 0.8, (CEILING_RATE, CEILING_BURST, CEILING_SLACK)),
]


async def body(case: rig2.Case) -> list[str]:
    """Runs the case; returns the breaks of the rule."""

    slow_until = 0.0

    async def stall(part: float) -> None:
        """Stops in the middle of a body until the node has time again."""
        if part >= 0.5:
            await asyncio.sleep(max(0.0, slow_until - time.monotonic()))

    def prepare(backend: rig2.Backend) -> None:
        backend.receive_buffer = 16 << 10
        backend.pause = stall

    await case.fleet(
        GATEWAYS, BACKENDS, nested=rig2.settings(GATEWAYS, PLANS), prepare=prepare, memory_mb=192
    )

    async def one(
        gateway: rig2.Gateway, name: str, number: str, tenant: int, text: bytes | None = None
    ) -> None:
        client = await rig2.Client(case, gateway).open()
        wait_ms = 5000 if name == "usage-submit" else 2000
        plan = "full" if tenant == TENANT else "basic"
        client.send(rig2.call(name, number, tenant, wait_ms, plan, SPREAD, text), number)
        await client.answer(number)
        client.writer.close()

    # Ordinary traffic: other customers, and this one well inside its quota. The ceiling's store stays full.
    work = []
    for n in range(60):
        work.append(case.spawn(one(case.gateways[n % 2], "rate-lookup", f"other-{n}", 9000 + n)))
        if n % 6 == 0:
            work.append(case.spawn(one(case.gateways[n // 6 % 2], "rate-lookup", f"calm-{n}", TENANT)))
        await asyncio.sleep(0.1)
    await asyncio.sleep(3.0)
    if case.trouble:
        slow_until = time.monotonic() + SLOW_S
    case.record("nodes read long bodies slowly from here on" if case.trouble else "nodes read at once")
    end, n = time.monotonic() + SLOW_S, 0
    while time.monotonic() < end + 0.6:
        long = time.monotonic() < end - 0.2
        name, text = ("usage-submit", BODY) if long else ("rate-lookup", None)
        work.append(case.spawn(one(case.gateways[n % 2], name, f"x-{n}", TENANT, text)))
        n += 1
        await asyncio.sleep(0.04)
    await asyncio.sleep(3.0)

    seen: set[str] = set()
    arrivals = []
    for command in sorted((c for b in case.backends for c in b.commands), key=lambda c: c.arrived):
        if int(command.words[1], 16) == TENANT and command.id not in seen:
            seen.add(command.id)
            arrivals.append(command)
    store, last, lowest = CEILING_BURST, 0.0, CEILING_BURST
    for command in arrivals:
        store = min(CEILING_BURST, store + CEILING_RATE * (command.arrived - last)) - 1.0
        last = command.arrived
        lowest = min(lowest, store)
        case.record("store", f"{store:.2f}", "after", command.id, f"at {command.arrived:.3f}")
    allowed = -(CEILING_SLACK + EXTRA_S * CEILING_RATE)
    case.record(
        "tries sent on:", len(arrivals), "lowest store:", f"{lowest:.2f}", "allowed:", f"{allowed:.2f}"
    )
    return [f"the ceiling's store went to {lowest:.2f}, allowed is {allowed:.2f}"] if lowest < allowed else []


rig2.Case(__file__).run(body)
