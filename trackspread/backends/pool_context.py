"""Holds the state that all connections of one gateway to its backends share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ..memory.account import MemoryAccount
from .adapter import Adapter
from .attempt import AttemptEndings
from .idle_age import IdleAgeLimit
from .read_budget import ReadBudget
from .surplus_answers import SurplusAnswers


@dataclass(slots=True)
class PoolContext:
    """Holds the loop, the clocks, the adapter and the limits that all connections use."""

    loop: asyncio.AbstractEventLoop
    time: Callable[[], float]  # the loop's clock, in s
    clock: Callable[[], int]  # the gateway's clock, in ns
    adapter: Adapter
    attempts: AttemptEndings
    idle_age: IdleAgeLimit
    connect_timeout_s: float
    receive_buffer_bytes: int
    max_connections: int
    account: MemoryAccount
    read_budget: ReadBudget
    open_connections: int = 0
    surplus_answers: SurplusAnswers = field(default_factory=SurplusAnswers)
