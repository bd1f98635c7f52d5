"""Runs clients that send at full speed or occupy memory in a process of its own: the harness must not lag."""

from __future__ import annotations

import asyncio
import json
import sys

from ..standins import memory_load as memory_load_client
from ..standins import flooding_client
from ..standins.memory_load import LoadKind
from ..standins.flooding_client import Totals
from ..standins.loopback import Address

EXIT_TIMEOUT_S = 10.0  # beyond the flood's own time


async def flood(address: Address, kind: str, connections: int, seconds: float) -> Totals:
    """Floods one gateway for `seconds`; returns what was sent. The process ends with the caller's task."""
    return await _run(flooding_client.__name__, address, kind, connections, seconds)


async def memory_load(address: Address, kind: LoadKind, connections: int, seconds: float) -> Totals:
    """Holds the connections of a memory load to one gateway for `seconds`; ends as `flood` does."""
    return await _run(memory_load_client.__name__, address, kind, connections, seconds)


async def _run(module: str, address: Address, kind: str, connections: int, seconds: float) -> Totals:
    host, port = address
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *(host, str(port), kind, str(connections), str(seconds)),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(seconds + EXIT_TIMEOUT_S):
            output, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    return Totals(**json.loads(output.splitlines()[-1]))
