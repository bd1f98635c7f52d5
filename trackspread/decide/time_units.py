"""Defines time units of the decision module's clock, in nanoseconds."""

from __future__ import annotations

SECOND = 1_000_000_000
MILLISECOND = 1_000_000
TICK = SECOND // 10  # interval of the module's timer events; a tenth of usual latency objectives
