"""Retries to bind an address that the predecessor process may still hold for a short time.

This module may depend on time, not on what is bound. It makes no decisions.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

RETRY_INTERVAL_S = 0.05


async def bind_within(timeout_s: float, bind: Callable[[], Awaitable[None]]) -> None:
    """Calls `bind` until it succeeds; after `timeout_s` raises the last attempt's `OSError`."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while True:
        try:
            return await bind()
        except OSError:
            if loop.time() >= deadline_s:
                raise
            await asyncio.sleep(RETRY_INTERVAL_S)
