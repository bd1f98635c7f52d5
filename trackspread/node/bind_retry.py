"""Binding an address that the process which is replaced may still hold for a moment.

May know: time. May not know: what is bound. Decides nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

AGAIN = 0.05  # s between tries


async def bound_within(patience: float, bind: Callable[[], Awaitable[None]]) -> None:
    """Try `bind` until it succeeds, for `patience` s; raises the last try's `OSError`."""
    loop = asyncio.get_running_loop()
    end = loop.time() + patience
    while True:
        try:
            return await bind()
        except OSError:
            if loop.time() >= end:
                raise
            await asyncio.sleep(AGAIN)
