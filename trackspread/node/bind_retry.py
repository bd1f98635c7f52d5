"""Binding an address that the process which is replaced may still hold for a short time.

May know: time. May not know: what is bound. Decides nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

RETRY_INTERVAL_S = 0.05


async def bind_within(patience_s: float, bind: Callable[[], Awaitable[None]]) -> None:
    """Call `bind` until it succeeds, for `patience_s`; raises the last attempt's `OSError`."""
    loop = asyncio.get_running_loop()
    give_up_at_s = loop.time() + patience_s
    while True:
        try:
            return await bind()
        except OSError:
            if loop.time() >= give_up_at_s:
                raise
            await asyncio.sleep(RETRY_INTERVAL_S)
