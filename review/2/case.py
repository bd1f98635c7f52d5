"""An upgrade while clients are writing their requests: is each request answered?"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import stand
from stand import Front, Node, Platform, Record, Setup, has_trouble, make_request, plan

SEED = 20261204
GATEWAYS, NODES = 3, 9
BODY = 256 << 10  # of a slow client's request; pages allow up to 4 MiB
WRITE_S, PIECES = 2.0, 20  # in which a slow client writes its request
EVERY_S = 0.1  # a slow client begins
FIRST_S, UPGRADE_S, LAST_S = 0.0, 3.0, 6.0
SLACK_S = 0.55  # half a second, and the 50 ms by which each limit is longer on sockets
KILL_S = 3.7  # after SIGTERM
PLANS = [plan("basic", 1.1, 5.5, 1.2, 1.0, 0.0), plan("full", 7.2, 13.7, 1.6, 0.8, 2.2)]


async def case(record: Record, platform: Platform) -> str:
    """Upgrades one gateway under slow and quick clients; a request without an answer breaks the rule."""
    rng = random.Random(SEED)

    def on_run(node: Node, name: bytes, cls: bytes) -> None:
        record.line("run", node.name, name.decode(), cls.decode())

    nodes = [Node(number, rng, on_run) for number in range(NODES)]
    for node in nodes:
        await node.start(GATEWAYS, has_network=True)
        node.work_s = lambda cls: 0.1 * rng.uniform(0.7, 1.3)
    await platform.start(GATEWAYS, nodes, PLANS, holds_sockets=True)
    gateway = platform.gateways[0]
    fronts = [Front(each) for each in platform.gateways]
    counts = dict.fromkeys(("sent", "served", "refused", "failed", "closed", "silent"), 0)

    async def slow(customer: int) -> None:
        """Uses one connection for a short request, and then for a long one that takes a while to write."""
        front = Front(gateway)
        await one(front, customer, is_slow=False)
        await one(front, customer, is_slow=True)
        front.close()

    async def one(front: Front, customer: int, is_slow: bool) -> None:
        cls = "charge-post" if is_slow else "rate-lookup"
        d = int((2500 if is_slow else 2000) * rng.uniform(0.5, 1.0))
        request = make_request(rng, cls, customer, "basic", d, GATEWAYS, 0, rng.randbytes(BODY))
        counts["sent"] += 1
        record.line("begins", request["name"], cls, f"d={d}", "slow" if is_slow else "quick")
        pieces = (PIECES, WRITE_S) if is_slow else (1, 0.0)
        ending, value = await front.send(
            request, d / 1000 + SLACK_S, lambda: record.line("sent", request["name"]), pieces
        )
        counts[ending] += 1
        record.line(ending, request["name"], value.decode())
        if ending in ("silent", "closed"):
            after_s = asyncio.get_running_loop().time() - request["sent_at"]
            how = "has no answer" if ending == "silent" else "lost its connection without an answer"
            record.breaks(f"{cls} {request['name']} {how} {after_s:.3f} s after its last byte, d={d}")

    async def clients() -> None:
        tasks, number = [], 0x40000000
        for _ in range(int((LAST_S - FIRST_S) / EVERY_S)):
            number += 2
            tasks.append(asyncio.create_task(slow(number)))
            tasks.append(asyncio.create_task(one(rng.choice(fronts), number + 1, is_slow=False)))
            await asyncio.sleep(EVERY_S)
        await asyncio.gather(*tasks)

    async def upgrade() -> None:
        await asyncio.sleep(UPGRADE_S)
        if not has_trouble():
            return
        record.line("upgrade", "a new process is started")
        await gateway.upgrade()
        record.line("upgrade", "the new process has said yes, SIGTERM to the old one")
        old = gateway.predecessor
        if old is None or old.returncode is not None:
            return
        old.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(old.wait(), KILL_S)
            record.line("upgrade", "the old process has ended")
        except TimeoutError:
            record.line("upgrade", "SIGKILL to the old process")
            old.kill()

    await asyncio.gather(clients(), upgrade())
    for front in fronts:
        front.close()
    for node in nodes:
        node.close()
    if counts["served"] < counts["sent"] // 2:
        raise Setup(f"too little was served: {counts}")
    return f"{counts}"


if __name__ == "__main__":
    sys.exit(stand.run(Path(__file__).resolve().parent, case))
