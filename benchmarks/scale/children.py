"""Starts, queries and ends the processes of a run, which answer one command per line.

The module knows processes and pipes; it does not know the commands.
"""

from __future__ import annotations

import asyncio
import os
import sys
from typing import Any, Generic, TypeVar

import msgspec

from trackspread.testing.harness.gateway_process import STOP_TIMEOUT_S

from .messages import Message

R = TypeVar("R")

ANSWER_TIMEOUT_S = 60.0  # A process that takes longer for one answer is unresponsive.
START_INTERVAL_S = 0.02  # Between the starts of two processes.
MAX_LINE_BYTES = 64 << 20  # The longest answer.


class HollowFailed(Exception):
    """Reports a hollow process that has ended or does not answer."""


class Child(Generic[R]):
    """Holds one child process, whose answers are of type `R`."""

    def __init__(self, process: asyncio.subprocess.Process, replies: Any) -> None:
        self._process = process
        self._decoder = msgspec.json.Decoder(replies)
        self._lock = asyncio.Lock()

    @classmethod
    async def start(cls, program: str, replies: Any) -> Child[R]:
        """Starts the module `program` of this package, whose answers are of the type or types `replies`."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"benchmarks.scale.{program}",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        return cls(process, replies)

    async def ask(self, command: Message, extra_s: float = 0.0) -> R:
        """Returns the answer to a command that itself takes `extra_s` seconds. Raises `HollowFailed`."""
        reader, writer = self._process.stdout, self._process.stdin
        if reader is None or writer is None:
            raise HollowFailed("a hollow process has no pipes")
        async with self._lock:
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S + extra_s):
                    writer.write(msgspec.json.encode(command) + b"\n")
                    await writer.drain()
                    line = await reader.readline()
            except (OSError, TimeoutError) as error:
                raise HollowFailed(f"no answer to {type(command).__name__}: {error!r}") from None
        if not line:
            raise HollowFailed(f"ended before it answered to {type(command).__name__}")
        reply: R = self._decoder.decode(line)
        return reply

    async def close(self) -> None:
        if self._process.returncode is not None:
            return
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                if self._process.stdin is not None:
                    self._process.stdin.close()
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()

    def kill(self) -> None:
        """Kills the process at once, as the loss of power of a machine does."""
        if self._process.returncode is None:
            self._process.kill()


async def start_all(program: str, replies: Any, count: int) -> list[Child[Any]]:
    """Starts `count` processes of one program, one after the other.

    Each start blocks the event loop of this process for milliseconds.
    """
    children: list[Child[Any]] = []
    for _ in range(count):
        children.append(await Child.start(program, replies))
        await asyncio.sleep(START_INTERVAL_S)
    return children
