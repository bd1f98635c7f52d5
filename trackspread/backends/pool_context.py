"""What all connections of one gateway to its backends share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from .adapter import Adapter
from .attempt import AttemptEndings
from .idle_age import IdleAgeLimit


@dataclass(slots=True)
class PoolContext:
    """What all connections of one gateway share."""

    loop: asyncio.AbstractEventLoop
    time: Callable[[], float]  # s, the loop's
    clock: Callable[[], int]  # ns, the gateway's
    adapter: Adapter
    attempts: AttemptEndings
    idle_age: IdleAgeLimit
    connect_timeout_s: float
    receive_buffer_bytes: int
    max_connections: int
    open_connections: int = 0
