"""Tests when gateways call a discovery that answers one call after the other, in virtual time."""

from __future__ import annotations

import heapq
import random

import pytest

from trackspread.lists.agent import ANSWER_TIMEOUT_S, SILENCE_TIMEOUT_S
from trackspread.lists.poll_timing import (
    MAX_ANSWER_S,
    MIN_WAIT_S,
    GRACE_FRACTION,
    CALL_TIMEOUT_S,
    MAX_SPREAD_S,
    NOTIFIED_AFTER_S,
    MAX_CALL_S,
    FIRST_SPREAD_S,
    PollTiming,
)


def list_times(gateways: int, call_s: float, seed: int, spread: bool, end: float = 30.0) -> list[float]:
    """Returns when each gateway got its list; calls stay queued even after they timed out."""
    rng, queue_end, list_times_s = random.Random(seed), 0.0, []
    calls = [PollTiming(gateways if spread else 1, rng, 10.0) for _ in range(gateways)]
    due_calls = [(timing.first_wait_s(), number) for number, timing in enumerate(calls)]
    heapq.heapify(due_calls)
    while due_calls and due_calls[0][0] < end:
        now, number = heapq.heappop(due_calls)
        queue_end = max(queue_end, now) + call_s
        if queue_end - now <= CALL_TIMEOUT_S:
            list_times_s.append(queue_end)
        else:
            heapq.heappush(due_calls, (now + CALL_TIMEOUT_S + calls[number].next_wait_s(True), number))
    return list_times_s


@pytest.mark.parametrize("seed", range(20))
def test_large_fleet_that_starts_together_gets_its_list(seed: int) -> None:
    """With 40 gateways, calls that all came at once timed out and were repeated, and most gateways never got
    a list.
    """
    assert len(list_times(40, MAX_CALL_S, seed, spread=True)) == 40
    assert len(list_times(40, MAX_CALL_S, seed, spread=False)) < 20


def test_small_fleet_calls_without_a_spread() -> None:
    timing = PollTiming(4, random.Random(1), 10.0)
    assert timing.first_wait_s() == 0.0
    assert timing.next_wait_s(False) <= MIN_WAIT_S
    assert max(timing.next_wait_s(False) for _ in range(20)) > 1.0
    timing.reset()
    assert timing.next_wait_s(False) <= MIN_WAIT_S


def test_wait_ends_before_a_change_counts_as_notified() -> None:
    """A restarted gateway that waited 8 s before its first call broke the rule on drains."""
    timing = PollTiming(10_000, random.Random(1), 10.0)
    assert max(timing.next_wait_s(True) for _ in range(500)) <= MAX_SPREAD_S
    timing.reset()
    assert timing.next_wait_s(False) <= FIRST_SPREAD_S < 1.0
    assert max(timing.first_wait_s() for _ in range(500)) <= FIRST_SPREAD_S


@pytest.mark.parametrize("gateways", [1, 4, 200])
@pytest.mark.parametrize("grace", [0.25, 1.0, 2.0])
def test_next_watch_opens_within_a_drains_grace_time(gateways: int, grace: float) -> None:
    """Pushed changes count as notified while no watch is open, however often watches broke before."""
    timing = PollTiming(gateways, random.Random(1), grace)
    waits = [timing.next_wait_s(False) for _ in range(500)]
    assert MIN_WAIT_S / 2 <= max(waits) <= GRACE_FRACTION * grace


@pytest.mark.parametrize("gateways", [1, 4, 25, 200, 10_000])
@pytest.mark.parametrize("grace", [0.25, 1.0, 10.0])
def test_next_call_is_answered_before_a_change_is_due(gateways: int, grace: float) -> None:
    """This holds for any end of the call before: the wait leaves a second for the call, and a silence is part
    of the wait.
    """
    timing = PollTiming(gateways, random.Random(1), grace)
    for _ in range(500):
        assert timing.next_wait_s(True) + MAX_ANSWER_S <= NOTIFIED_AFTER_S
        assert timing.next_wait_s(False) + MAX_ANSWER_S <= NOTIFIED_AFTER_S
        silence_s = max(ANSWER_TIMEOUT_S, SILENCE_TIMEOUT_S)
        assert silence_s + timing.wait_after_silence_s() + MAX_ANSWER_S <= NOTIFIED_AFTER_S


def calls_after_outage(gateways: int, outage: float, seed: int) -> list[float]:
    """Returns when each gateway's call reached discovery, in s after an outage of `outage` s.

    All watches broke together, and calls were rejected during the outage.
    """
    rng, call_times = random.Random(seed), []
    for _ in range(gateways):
        timing = PollTiming(gateways, rng, 1.0)
        at = timing.first_wait_s()
        while at < outage:
            at += timing.next_wait_s(True)
        call_times.append(at - outage)
    return call_times


def max_calls_per_s(call_times: list[float]) -> int:
    """Returns the maximum of calls within one second."""
    return max(sum(begin <= at < begin + 1.0 for at in call_times) for begin in call_times)


@pytest.mark.parametrize("seed", range(5))
def test_calls_after_an_outage_are_spread(seed: int) -> None:
    """Each gateway calls once within the spread, and more evenly after a longer outage."""

    assert max(calls_after_outage(200, 10.0, seed)) <= MAX_SPREAD_S
    assert max_calls_per_s(calls_after_outage(200, 10.0, seed)) <= 175
    assert max_calls_per_s(calls_after_outage(200, 120.0, seed)) <= 100
