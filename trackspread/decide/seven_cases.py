"""Implements the seven cases by which a commitment is granted a concurrency.

They are those in section 5 of the paper; see `docs/design/decisions.md`.
"""

from __future__ import annotations

from collections.abc import Callable

Goal = Callable[[int], bool]


def seven_cases(
    requested: int,
    model_levels: int,
    meets_response_time: Goal,
    meets_throughput: Goal,
    preserves_competitors: Goal,
) -> int:
    """Returns the concurrency offered to a commitment that requests `requested`, or 0 to reject it.

    Each goal returns whether it is met at a concurrency: the response time, the throughput, and what the
    other commitments were granted. From `model_levels` on, `meets_response_time` and `preserves_competitors`
    no longer change. If one of them fails at `requested`, it therefore fails at all levels down to
    `model_levels`. Skipping these bounds the number of evaluations by the levels of the model, whatever the
    size of the quota.
    """
    fewer = range(min(requested - 1, model_levels), 0, -1)
    fewest = range(1, requested)
    more = range(requested + 1, 2 * requested + 1)
    is_fast = meets_response_time(requested)
    is_throughput_met = meets_throughput(requested)
    if not preserves_competitors(requested):
        if not is_throughput_met:
            return _first(fewer, preserves_competitors)
        return _cases_5_to_7(fewer, meets_response_time, meets_throughput, preserves_competitors)
    if is_fast and is_throughput_met:  # case 1: all goals are met
        return requested
    # Case 2, too slow: fewer requests in flight, or else the fewest that keep the throughput.
    if is_throughput_met:
        found = _first(fewer, meets_response_time, meets_throughput) or _first(fewest, meets_throughput)
    # Case 3, too little throughput: more requests in flight, or else as many as stay fast enough.
    elif is_fast:
        found = _first(more, meets_response_time, meets_throughput, preserves_competitors)
        found = found or _first(more[::-1], meets_response_time, preserves_competitors)
    else:  # case 4: too slow and too little throughput
        found = _first(fewer, meets_response_time) or _first(more, meets_throughput, preserves_competitors)
    return found or requested


def _cases_5_to_7(
    fewer: range, meets_response_time: Goal, meets_throughput: Goal, preserves_competitors: Goal
) -> int:
    """Returns the highest concurrency that preserves what the competitors were granted (cases 5 to 7).

    As many of the commitment's own goals as possible are met.
    """
    found = _first(fewer, meets_response_time, meets_throughput, preserves_competitors)
    found = found or _first(fewer, preserves_competitors, meets_throughput)
    return found or _first(fewer, preserves_competitors)


def _first(levels: range, *goals: Goal) -> int:
    """Returns the first level at which all goals are met, or 0 if there is none."""
    return next((level for level in levels if all(goal(level) for goal in goals)), 0)
