"""A few clients that stop in the middle of a long request: do the others' long requests get their answers?"""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand
from stand import Front, Node, Platform, Record, Setup, has_trouble, make_request, plan

SEED = 20261204
GATEWAYS, NODES = 3, 9
MEMORY_MB, SOCKETS = 192, 1024  # the most that the pages name
OFFERED_PER_S = 60.0  # by all usual customers
LONG_BODY, LONG_SHARE = 256 << 10, 0.2  # of the requests that carry a body
SECONDS = 16.0
STOPPED, STOPPED_BODY, STOP_BEFORE = 12, 4 << 20, 64 << 10  # clients that stop, at one gateway
STOP_AT_S = 3.0
SLACK_S = 0.55  # half a second, and the 50 ms by which each limit is longer on sockets
PLANS = [plan("basic", 1.1, 5.5, 1.2, 1.0, 0.0), plan("full", 7.2, 13.7, 1.6, 0.8, 2.2)]
CUSTOMERS = 160
DEADLINE_MS = {"rate-lookup": 2000, "usage-submit": 5000, "charge-post": 2500}


async def stop_half_way(record: Record, number: int, address: tuple[str, int], rng: random.Random) -> None:
    """Sends a request but for its last bytes, and stays until the gateway ends the connection."""
    body = bytes(STOPPED_BODY)
    request = make_request(rng, "usage-submit", 0x60000000 + number, "basic", 5000, GATEWAYS, 0, body)
    loop = asyncio.get_running_loop()
    began = loop.time()
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request["wire"][:-STOP_BEFORE])
        answer = await reader.read(200)
        record.line("stopped client", number, f"after {loop.time() - began:.2f} s:", answer)
    except OSError as error:
        record.line("stopped client", number, f"after {loop.time() - began:.2f} s:", error)
    finally:
        writer.transport.abort()


async def case(record: Record, platform: Platform) -> str:
    """Runs usual clients; the rule is broken by one of theirs without an answer in its time."""
    rng = random.Random(SEED)

    def on_run(node: Node, name: bytes, cls: bytes) -> None:
        record.line("run", node.name, name.decode(), cls.decode())

    nodes = [Node(number, rng, on_run) for number in range(NODES)]
    for node in nodes:
        await node.start(GATEWAYS, has_network=True)
        node.work_s = lambda cls: 0.1 * rng.uniform(0.7, 1.3)
    await platform.start(GATEWAYS, nodes, PLANS, memory_mb=MEMORY_MB, sockets=SOCKETS)
    fronts = [Front(gateway) for gateway in platform.gateways]
    counts = dict.fromkeys(("sent", "served", "refused", "failed", "closed", "silent", "long"), 0)
    body = rng.randbytes(LONG_BODY)

    async def one() -> None:
        cls = rng.choices(("rate-lookup", "usage-submit", "charge-post"), (43, 34, 23))[0]
        d = int(DEADLINE_MS[cls] * rng.uniform(0.5, 1.0))
        is_long = cls != "rate-lookup" and rng.random() < LONG_SHARE
        counts["long"] += is_long
        customer = 0x40000000 + rng.randrange(CUSTOMERS)
        words = body if is_long else b"units of service"
        request = make_request(rng, cls, customer, "basic", d, GATEWAYS, 0, words)
        counts["sent"] += 1
        number = rng.randrange(GATEWAYS)
        what = f"n{number} {request['name']} {cls}{' long' if is_long else ''} d={d}"
        ending, value = await fronts[number].send(
            request, d / 1000 + SLACK_S, lambda: record.line("sent", what)
        )
        counts[ending] += 1
        after_s = asyncio.get_running_loop().time() - request["sent_at"]
        record.line(ending, what, f"{after_s:.3f} s after its last byte:", value.decode())
        if ending in ("silent", "closed"):
            record.breaks(f"no answer {after_s:.3f} s after the last byte: {what}")

    async def trouble() -> None:
        await asyncio.sleep(STOP_AT_S)
        if has_trouble():
            record.line("trouble", f"{STOPPED} clients stop in the middle of a request at n0")
            address = platform.gateways[0].listen
            await asyncio.gather(*(stop_half_way(record, n, address, rng) for n in range(STOPPED)))

    async def clients() -> None:
        loop = asyncio.get_running_loop()
        end, tasks = loop.time() + SECONDS, []
        while loop.time() < end:
            tasks.append(asyncio.create_task(one()))
            await asyncio.sleep(rng.expovariate(OFFERED_PER_S))
        await asyncio.gather(*tasks)

    await asyncio.gather(clients(), trouble())
    for front in fronts:
        front.close()
    for node in nodes:
        node.close()
    if counts["served"] < counts["sent"] // 2:
        raise Setup(f"too little was served: {counts}")
    return f"{counts}"


if __name__ == "__main__":
    sys.exit(stand.run(Path(__file__).resolve().parent, case))
