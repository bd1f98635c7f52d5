"""Compares the CPU per call of two clients of the shared counter: this project's and the package `redis`.

Both make the same call (write a field, read the hash, extend its expiry, read the time) 64 at a time to the
stand-in, which runs in its own process. Figures are CPU microseconds of this process in one run.
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
    """Runs the stand-in counter, sends its address, and ends at the first message."""

    async def work() -> None:
        server = CounterServer([Shard(0)], 1)
        await server.start()
        pipe.send(server.addresses[0, 0])
        await asyncio.get_running_loop().run_in_executor(None, pipe.recv)

    uvloop.run(work())


def _words(number: int) -> list[Command]:
    """Returns the commands of one call."""
    return commands_for(Call(number, 0, number % AT_ONCE, b"x" * 48), "ts", 0, b"token")


async def _own_client_us(address: tuple[str, int]) -> float:
    """Returns the CPU microseconds per call of this project's connection."""
    connection = CounterConnection(address, Credentials(), lambda: None)
    connection.start()
    while not connection.is_ready:
        await asyncio.sleep(0.01)
    loop, began = asyncio.get_running_loop(), time.process_time()
    for _ in range(CALLS):
        waiting = [loop.create_future() for _ in range(AT_ONCE)]
        for number, each in enumerate(waiting):
            connection.send(_words(number), each.set_result)
        await asyncio.gather(*waiting)
    used = time.process_time() - began
    await connection.close()
    return used / CALLS / AT_ONCE * 1e6


async def _redis_client_us(address: tuple[str, int]) -> float:
    """Returns the CPU microseconds per call of the package `redis`."""
    client = redis.asyncio.Redis(host=address[0], port=address[1], max_connections=AT_ONCE)

    async def call(number: int) -> None:
        async with client.pipeline(transaction=False) as pipe:
            for words in _words(number):
                pipe.execute_command(*words)
            await pipe.execute()

    await asyncio.gather(*(call(number) for number in range(AT_ONCE)))
    began = time.process_time()
    for _ in range(CALLS // 4):
        await asyncio.gather(*(call(number) for number in range(AT_ONCE)))
    used = time.process_time() - began
    await client.aclose()
    return used / (CALLS // 4) / AT_ONCE * 1e6


async def _measure(address: tuple[str, int]) -> dict[str, float]:
    """Returns the lowest figure of each client over all rounds, and their ratio."""
    own_us, redis_us = [], []
    for _ in range(ROUNDS):
        own_us.append(await _own_client_us(address))
        redis_us.append(await _redis_client_us(address))
    return {
        "link_us": round(min(own_us), 1),
        "redis_us": round(min(redis_us), 1),
        "ratio": round(min(redis_us) / min(own_us), 2),
    }


def main() -> int:
    """Prints the figures as JSON and returns the exit status."""
    pipe, child_pipe = multiprocessing.get_context("spawn").Pipe()
    server = multiprocessing.get_context("spawn").Process(target=_serve, args=(child_pipe,))
    server.start()
    try:
        print(json.dumps(uvloop.run(_measure(pipe.recv()))))
    finally:
        pipe.send(None)
        server.join()
    return 0


if __name__ == "__main__":
    sys.exit(main())
