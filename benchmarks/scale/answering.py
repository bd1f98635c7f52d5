"""Answers commands in a child process: one command per line of standard input, one answer per line of output.

The module knows pipes; it does not know the commands.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from .messages import Message

MAX_LINE_BYTES = 64 << 20  # The longest command.


async def answer_all(commands: Any, answer: Callable[[Any], Awaitable[Message]], last: type[Message]) -> None:
    """Answers commands of the types `commands` until standard input ends or a command of type `last`."""
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    decoder = msgspec.json.Decoder(commands)
    while line := await reader.readline():
        command = decoder.decode(line)
        sys.stdout.buffer.write(msgspec.json.encode(await answer(command)) + b"\n")
        sys.stdout.buffer.flush()
        if isinstance(command, last):
            break
