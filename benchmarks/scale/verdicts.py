"""Which of the members that were called dead were alive, from what processes recorded.

May know: who ran when, which regions were cut off when. May not know: how verdicts come to be.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from .messages import DeadVerdict, Life, Who
from .placement import region_of_name


class Cutoff(msgspec.Struct, frozen=True):
    """A region that nothing went to or came from, from when until when, in ns; 0: it still is."""

    region: int
    since: int
    until: int = 0


def false_deaths(
    verdicts: Iterable[DeadVerdict],
    lives: Iterable[Life],
    cutoffs: Iterable[Cutoff] = (),
    region: Callable[[str], int] = region_of_name,
) -> list[DeadVerdict]:
    """Verdicts from own probes on a process that ran, and that its judge could reach: not while a cut lay
    between them, nor where that was when it fell under suspicion."""
    ran = {life.who: life for life in lives}
    cuts = list(cutoffs)
    return [each for each in verdicts if each.own and _alive(each, ran) and not _apart(each, cuts, region)]


def relayed_deaths(
    verdicts: Iterable[DeadVerdict],
    lives: Iterable[Life],
    cutoffs: Iterable[Cutoff] = (),
    region: Callable[[str], int] = region_of_name,
) -> set[Who]:
    """Members that ran and were held for dead by one in reach of them because of what others had told."""
    ran = {life.who: life for life in lives}
    cuts = list(cutoffs)
    return {
        each.of for each in verdicts if not each.own and _alive(each, ran) and not _apart(each, cuts, region)
    }


def _alive(verdict: DeadVerdict, ran: dict[Who, Life]) -> bool:
    life = ran.get(verdict.of)
    return life is not None and life.since <= verdict.at and (not life.until or verdict.at < life.until)


def _apart(verdict: DeadVerdict, cuts: list[Cutoff], region: Callable[[str], int]) -> bool:
    here, there = region(verdict.by), region(verdict.of[0])
    return here != there and any(
        cut.region in (here, there)
        and cut.since <= verdict.at
        and (not cut.until or verdict.suspected < cut.until)
        for cut in cuts
    )
