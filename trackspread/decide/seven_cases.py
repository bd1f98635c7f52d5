"""The seven cases by which a commitment is granted a concurrency (section 5 of the broker's paper)."""

from __future__ import annotations

from collections.abc import Callable

Goal = Callable[[int], bool]


def seven_cases(
    requested: int, model_levels: int, response_time: Goal, throughput: Goal, competitors: Goal
) -> int:
    """The concurrency offered to a commitment that asks for `requested`; 0 to reject it.

    Each goal says whether it holds at a concurrency: the response time, the throughput, and what the
    commitments beside it were granted. From `model_levels` on `response_time` and `competitors` no longer
    change: where one of them fails at `requested` it fails down to there, so that a quota of any size costs
    no more evaluations than the model has levels."""
    fewer = range(min(requested - 1, model_levels), 0, -1)
    fewest = range(1, requested)
    more = range(requested + 1, 2 * requested + 1)
    is_fast = response_time(requested)
    is_throughput_met = throughput(requested)
    if not competitors(requested):
        if not is_throughput_met:
            return _first(fewer, competitors)
        return _most_sparing_competitors(fewer, response_time, throughput, competitors)
    if is_fast and is_throughput_met:  # case 1
        return requested
    if is_throughput_met:  # case 2, too slow: fewer, or else the fewest that keep the throughput
        found = _first(fewer, response_time, throughput) or _first(fewest, throughput)
    elif is_fast:  # case 3, too little throughput: more, or else as many as stay fast enough
        found = _first(more, response_time, throughput, competitors)
        found = found or _first(more[::-1], response_time, competitors)
    else:  # case 4, both
        found = _first(fewer, response_time) or _first(more, throughput, competitors)
    return found or requested


def _most_sparing_competitors(fewer: range, response_time: Goal, throughput: Goal, competitors: Goal) -> int:
    """Cases 5 to 7: the most that leaves the others what they were granted, with as many of the commitment's
    own goals as possible."""
    found = _first(fewer, response_time, throughput, competitors)
    found = found or _first(fewer, competitors, throughput)
    return found or _first(fewer, competitors)


def _first(levels: range, *goals: Goal) -> int:
    """The first level at which all goals hold; 0 where there is none."""
    return next((level for level in levels if all(goal(level) for goal in goals)), 0)
