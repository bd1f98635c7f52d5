"""Processes of a run that answer one command a line: how they are started, asked and ended.

May know: processes, pipes. May not know: what is asked.
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

ANSWER_MOST = 60.0  # s for one answer: a process that takes longer is stuck
SPAWN = 0.02  # s between starts
LINE_MOST = 64 << 20  # bytes of one answer


class HollowFailed(Exception):
    """A hollow process has ended, or does not answer."""


class Child(Generic[R]):
    """One process; `R`: what it answers with."""

    def __init__(self, process: asyncio.subprocess.Process, replies: Any) -> None:
        self._process = process
        self._decoder = msgspec.json.Decoder(replies)
        self._one = asyncio.Lock()

    @classmethod
    async def start(cls, program: str, replies: Any) -> Child[R]:
        """`program`: a module of this package; `replies`: the type, or types, of what it answers with."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"benchmarks.scale.{program}",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LINE_MOST,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        return cls(process, replies)

    async def ask(self, command: Message, more: float = 0.0) -> R:
        """`more`: s that the command itself takes. Raises `HollowFailed`."""
        reader, writer = self._process.stdout, self._process.stdin
        if reader is None or writer is None:
            raise HollowFailed("a hollow process has no pipes")
        async with self._one:
            try:
                async with asyncio.timeout(ANSWER_MOST + more):
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
        """Outright, as a machine that loses power."""
        if self._process.returncode is None:
            self._process.kill()


async def start_all(program: str, replies: Any, count: int) -> list[Child[Any]]:
    """So many of one program, one after the other: each start stops this process's loop for milliseconds."""
    children: list[Child[Any]] = []
    for _ in range(count):
        children.append(await Child.start(program, replies))
        await asyncio.sleep(SPAWN)
    return children
