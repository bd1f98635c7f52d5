"""Finds the members that were declared dead while they were alive, from the records of the processes.

The module knows when each member ran and which regions were cut off when; it does not know how members reach
their verdicts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

import msgspec

from .messages import DeadVerdict, Life, MemberId
from .placement import region_of_name


class Cutoff(msgspec.Struct, frozen=True):
    """Records from when until when a region was cut off, in ns; `until` is 0 while it is."""

    region: int
    since: int
    until: int = 0


def false_deaths(
    verdicts: Iterable[DeadVerdict],
    lives: Iterable[Life],
    cutoffs: Iterable[Cutoff] = (),
    region: Callable[[str], int] = region_of_name,
) -> list[DeadVerdict]:
    """Returns the verdicts by own probes on members that ran and that the prober could reach.

    A verdict is not false if the two were cut off from each other at the verdict or at the suspicion.
    """
    lives_by_member = {life.who: life for life in lives}
    partitions = list(cutoffs)
    return [
        each
        for each in verdicts
        if each.own and _alive(each, lives_by_member) and not _separated(each, partitions, region)
    ]


def relayed_deaths(
    verdicts: Iterable[DeadVerdict],
    lives: Iterable[Life],
    cutoffs: Iterable[Cutoff] = (),
    region: Callable[[str], int] = region_of_name,
) -> set[MemberId]:
    """Returns the members that ran and that a member in reach of them held for dead because of gossip."""
    lives_by_member = {life.who: life for life in lives}
    partitions = list(cutoffs)
    return {
        each.of
        for each in verdicts
        if not each.own and _alive(each, lives_by_member) and not _separated(each, partitions, region)
    }


def _alive(verdict: DeadVerdict, lives_by_member: dict[MemberId, Life]) -> bool:
    life = lives_by_member.get(verdict.of)
    return life is not None and life.since <= verdict.at and (not life.until or verdict.at < life.until)


def _separated(verdict: DeadVerdict, partitions: list[Cutoff], region: Callable[[str], int]) -> bool:
    here, there = region(verdict.by), region(verdict.of[0])
    return here != there and any(
        partition.region in (here, there)
        and partition.since <= verdict.at
        and (not partition.until or verdict.suspected < partition.until)
        for partition in partitions
    )
