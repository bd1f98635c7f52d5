"""CPU a call of the ways to speak with a counter: this project's link, and the registry's client `redis`.

The same call (write a field, read the name, lengthen its life, ask the time), 64 at a time, to the stand-in
in a process of its own; figures are microseconds of this process, compared in one run.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import sys
import time
from multiprocessing.connection import Connection

import redis.asyncio
import uvloop

from trackspread.counter.commands import Command
from trackspread.counter.commands import commands_for
from trackspread.counter.connection import CounterConnection, Credentials
from trackspread.counter.calls import Call
from trackspread.testing.standins.counter import Shard
from trackspread.testing.standins.counter_server import CounterServer

CALLS, AT_ONCE, ROUNDS = 200, 64, 3


def _serve(pipe: Connection) -> None:
    async def work() -> None:
        server = CounterServer([Shard(0)], 1)
        await server.start()
        pipe.send(server.addresses[0, 0])
        await asyncio.get_running_loop().run_in_executor(None, pipe.recv)

    uvloop.run(work())


def _words(number: int) -> list[Command]:
    return commands_for(Call(number, 0, number % AT_ONCE, b"x" * 48), "ts", 0, b"token")


async def _link(address: tuple[str, int]) -> float:
    link = CounterConnection(address, Credentials(), lambda: None)
    link.start()
    while not link.is_ready:
        await asyncio.sleep(0.01)
    loop, began = asyncio.get_running_loop(), time.process_time()
    for _ in range(CALLS):
        waiting = [loop.create_future() for _ in range(AT_ONCE)]
        for number, each in enumerate(waiting):
            link.send(_words(number), each.set_result)
        await asyncio.gather(*waiting)
    used = time.process_time() - began
    await link.close()
    return used / CALLS / AT_ONCE * 1e6


async def _redis(address: tuple[str, int]) -> float:
    client = redis.asyncio.Redis(host=address[0], port=address[1], max_connections=AT_ONCE)

    async def one(number: int) -> None:
        async with client.pipeline(transaction=False) as pipe:
            for words in _words(number):
                pipe.execute_command(*words)
            await pipe.execute()

    await asyncio.gather(*(one(number) for number in range(AT_ONCE)))
    began = time.process_time()
    for _ in range(CALLS // 4):
        await asyncio.gather(*(one(number) for number in range(AT_ONCE)))
    used = time.process_time() - began
    await client.aclose()
    return used / (CALLS // 4) / AT_ONCE * 1e6


async def _measure(address: tuple[str, int]) -> dict[str, float]:
    own, other = [], []
    for _ in range(ROUNDS):
        own.append(await _link(address))
        other.append(await _redis(address))
    return {
        "link_us": round(min(own), 1),
        "redis_us": round(min(other), 1),
        "ratio": round(min(other) / min(own), 2),
    }


def main() -> int:
    ours, theirs = multiprocessing.get_context("spawn").Pipe()
    server = multiprocessing.get_context("spawn").Process(target=_serve, args=(theirs,))
    server.start()
    try:
        print(json.dumps(uvloop.run(_measure(ours.recv()))))
    finally:
        ours.send(None)
        server.join()
    return 0


if __name__ == "__main__":
    sys.exit(main())
