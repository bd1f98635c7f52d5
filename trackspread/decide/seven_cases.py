"""The seven cases by which a commitment is granted a concurrency (section 5 of the paper in
`docs/design/decisions.md`)."""

from __future__ import annotations

from collections.abc import Callable

Goal = Callable[[int], bool]


def seven_cases(
    requested: int,
    model_levels: int,
    meets_response_time: Goal,
    meets_throughput: Goal,
    spares_competitors: Goal,
) -> int:
    """The concurrency offered to a commitment that asks for `requested`; 0 to reject it.

    Each goal says whether it holds at a concurrency: the response time, the throughput, and what the
    commitments beside it were granted. From `model_levels` on `meets_response_time` and `spares_competitors`
    no longer change: where one of them fails at `requested` it fails down to there, so that a quota of any
    size costs no more evaluations than the model has levels."""
    fewer = range(min(requested - 1, model_levels), 0, -1)
    fewest = range(1, requested)
    more = range(requested + 1, 2 * requested + 1)
    is_fast = meets_response_time(requested)
    is_throughput_met = meets_throughput(requested)
    if not spares_competitors(requested):
        if not is_throughput_met:
            return _first(fewer, spares_competitors)
        return _most_sparing_competitors(fewer, meets_response_time, meets_throughput, spares_competitors)
    if is_fast and is_throughput_met:  # case 1
        return requested
    if is_throughput_met:  # case 2, too slow: fewer, or else the fewest that keep the throughput
        found = _first(fewer, meets_response_time, meets_throughput) or _first(fewest, meets_throughput)
    elif is_fast:  # case 3, too little meets_throughput: more, or else as many as stay fast enough
        found = _first(more, meets_response_time, meets_throughput, spares_competitors)
        found = found or _first(more[::-1], meets_response_time, spares_competitors)
    else:  # case 4, both
        found = _first(fewer, meets_response_time) or _first(more, meets_throughput, spares_competitors)
    return found or requested


def _most_sparing_competitors(
    fewer: range, meets_response_time: Goal, meets_throughput: Goal, spares_competitors: Goal
) -> int:
    """Cases 5 to 7: the most that leaves the others what they were granted, with as many of the commitment's
    own goals as possible."""
    found = _first(fewer, meets_response_time, meets_throughput, spares_competitors)
    found = found or _first(fewer, spares_competitors, meets_throughput)
    return found or _first(fewer, spares_competitors)


def _first(levels: range, *goals: Goal) -> int:
    """The first level at which all goals hold; 0 where there is none."""
    return next((level for level in levels if all(goal(level) for goal in goals)), 0)
