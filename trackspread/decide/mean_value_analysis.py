"""Exact mean value analysis of a small closed queuing network. Pure arithmetic; nothing here decides."""

from __future__ import annotations


def mean_values(demand: float, delay: float, most: int) -> list[float]:
    """Mean value analysis of one delay and one queue: response times for 0..most in flight."""
    times, queued = [delay + demand], 0.0
    for n in range(1, most + 1):
        wait = demand * (1.0 + queued)
        times.append(delay + wait)
        queued = n * wait / (delay + wait)
    return times
