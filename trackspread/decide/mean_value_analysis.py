"""Implements exact mean value analysis of a small closed queuing network, without any decisions."""

from __future__ import annotations


def mean_values(demand: float, delay: float, max_in_flight: int) -> list[float]:
    """Returns the response times of one delay and one queue, for 0 to `max_in_flight` requests in flight.

    `demand` is the service time at the queue and `delay` the time elsewhere, without queuing. All times have
    the same unit.
    """
    response_times = [delay + demand]
    queue_length = 0.0
    for in_flight in range(1, max_in_flight + 1):
        wait = demand * (1.0 + queue_length)
        response_times.append(delay + wait)
        queue_length = in_flight * wait / (delay + wait)
    return response_times
