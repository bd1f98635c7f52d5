"""What a commitment competes with, against a look at every other one."""

from __future__ import annotations

import random
from math import inf

import pytest

from trackspread.decide.competing_commitments import (
    MIN_IN_FLIGHT,
    MIN_THROUGHPUT_PER_S,
    CompetingCommitments,
    CompetingLoad,
)
from trackspread.decide.quota import Quota
from trackspread.decide.commitment import Commitment
from trackspread.decide.decaying_mean import SHORT_TERM, DecayingMean
from trackspread.decide.time_units import SECOND

from ..helpers import settings


def commitments(count: int, rng: random.Random) -> list[Commitment]:
    quota = Quota(settings(), 1, 0, rng)
    made = []
    for customer in range(count):
        each = Commitment(
            quota.account(0, customer, 0), 0, 0, DecayingMean(SHORT_TERM), DecayingMean(SHORT_TERM)
        )
        each.mean_in_flight.add(0, rng.choice((0.0, MIN_IN_FLIGHT, 0.3, rng.uniform(0.1, 9.0))))
        changed(each, rng)
        made.append(each)
    return made


def changed(commitment: Commitment, rng: random.Random) -> None:
    commitment.cap, commitment.min_throughput_per_s = (
        rng.randrange(6),
        rng.choice((0.0, rng.uniform(0.1, 50.0))),
    )
    commitment.max_wait_ns = rng.uniform(0.1, 2.0) * SECOND


def looked_at(one: Commitment, all_of_them: list[Commitment]) -> CompetingLoad:
    """By a look at each."""
    busy = [c for c in all_of_them if c is not one and c.mean_in_flight.value > MIN_IN_FLIGHT]
    spans = [c.cap * SECOND / max(c.min_throughput_per_s, MIN_THROUGHPUT_PER_S) for c in busy if c.cap > 1]
    return CompetingLoad(
        sum(c.mean_in_flight.value if c.cap > 1 else min(1.0, c.mean_in_flight.value) for c in busy),
        min((c.max_wait_ns for c in busy), default=inf),
        min(spans, default=inf),
    )


@pytest.mark.parametrize("seed", range(30))
def test_the_sums_are_those_of_a_look_at_every_other_one(seed: int) -> None:
    rng = random.Random(seed)
    them = commitments(rng.randrange(1, 12), rng)
    kept = CompetingCommitments(them)
    for _ in range(200):
        one = rng.choice(them)
        if rng.random() < 0.6:
            changed(one, rng)
            kept.update(one)
        found, wanted = kept.without(one), looked_at(one, them)
        assert found.in_flight == pytest.approx(wanted.in_flight)
        assert found.max_wait_ns == wanted.max_wait_ns
        assert found.max_response_time_ns == wanted.max_response_time_ns


def test_one_that_stands_alone_finds_nobody() -> None:
    (alone,) = commitments(1, random.Random(1))
    assert CompetingCommitments([alone]).without(alone) == CompetingLoad(0.0, inf, inf)
