"""The shared counter's leases: its rules by themselves, and in virtual time under seeded faults."""

from __future__ import annotations

import random
from functools import partial

import pytest

from trackspread.counter.fair_shares import fair_shares
from trackspread.counter.commands import CounterError
from trackspread.counter.commands import ErrorReply, commands_for, key_of, parse_reply
from trackspread.counter.failure_detector import FailureDetector
from trackspread.counter.quota_client import terms_of
from trackspread.counter.calls import Call, Reply
from trackspread.counter.claims import Claim, Heartbeat, pack_claim, pack_heartbeat, unpack_claim
from trackspread.counter.lease_terms import LeaseTerms, static_share
from trackspread.counter.timing import EXPIRY_NS, HEARTBEAT_NS, LEASE_NS
from trackspread.decide.time_units import MILLISECOND, SECOND
from trackspread.decide.settings import Plan
from trackspread.testing.standins.counter import Cluster, CommandError, Shard, slot_of
from trackspread.testing.virtual.counter.world import Plant, World
from trackspread.testing.virtual.counter.mutants import KINDS, shows
from trackspread.testing.virtual.counter.schedules import (
    FAULTS,
    calm_world,
    deaf_world,
    make,
    play,
    tight_world,
)

TERMS = LeaseTerms(10.0, 1.0, 0.1, (0, 1, 2))


@pytest.mark.parametrize("seed", range(12))
def test_shares_and_ceilings_hold_under_seeded_faults(seed: int) -> None:
    world = play(make(seed))
    assert not world.broken, (str(make(seed)), world.broken)
    assert sum(count.sent for count in world.counts.values()) > 0


@pytest.mark.parametrize("name", FAULTS)
def test_after_each_fault_members_are_served_again(name: str) -> None:
    """What was served in a calm second half is most of what one store would have let pass."""
    world = World(Plant(5, asked=2.0))
    world.run(4 * SECOND)
    world.clock.after(0, partial(FAULTS[name], world, random.Random(f"one fault:{name}")))
    if name == "lossy":
        world.clock.after(8 * SECOND, partial(FAULTS["calm"], world, random.Random(1)))
    world.run(16 * SECOND)
    before = {member: (count.sent, count.inside) for member, count in world.counts.items()}
    world.run(6 * SECOND)
    assert not world.broken
    for member, count in world.counts.items():
        sent, inside = count.sent - before[member][0], count.inside - before[member][1]
        assert sent > 0.7 * inside, (hex(member), sent, inside)


def test_shares_never_sum_to_more_than_there_is_and_the_least_of_wants_are_met_whole() -> None:
    shares = fair_shares(7, TERMS, {}, {0: 0.5, 1: 9.0, 2: 9.0, 3: 0.0}, 1.0, 1)
    assert shares == {0: pytest.approx(0.1), 1: pytest.approx(0.45), 2: pytest.approx(0.45)}
    assert sum(fair_shares(7, TERMS, {}, dict.fromkeys(range(30), 9.0), 1.0, 1).values()) <= 1.0 + 1e-9


def test_where_few_shares_hold_a_request_turns_bring_everybody_to_one() -> None:
    narrow = LeaseTerms(10.0, 1.0, 0.5, (0, 1, 2))
    served = [set(fair_shares(7, narrow, {}, dict.fromkeys(range(5), 9.0), 1.0, turn)) for turn in range(40)]
    assert all(len(each) == 2 for each in served) and set.union(*served) == set(range(5))


def test_even_slices_sum_to_the_whole_also_where_few_hold_a_request() -> None:
    for least in (0.01, 0.2, 0.4, 1.0):
        terms = LeaseTerms(10.0, 1.0, least, tuple(range(7)))
        slices = [static_share(99, terms, slot) for slot in range(9)]
        assert sum(slices) == pytest.approx(1.0) and min(s for s in slices if s) >= min(least, 1 / 7)


def test_terms_hold_one_request_in_every_store_and_one_place() -> None:
    plan = Plan("p", 10.0, 20.0, 4, 1.0, 0.0, 1.0, 20.0, 40.0, 0.0)
    assert terms_of(plan, 2.0, (0,)) == LeaseTerms(10.0, 20.0, 0.25, (0,), True)
    assert terms_of(Plan("p", 0.0, 0.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0), 2.0, (0,)) is None


def _read(detector: FailureDetector, now: int, number: int, late: int = 0, wrote: bool = True) -> None:
    """A read at `now` that shows gateway 1's beat, which lay `late` ns on its way."""
    clock = now // MILLISECOND
    beat = pack_heartbeat(Heartbeat(5, number, clock - late // MILLISECOND))
    detector.on_reply(now, now, wrote, Reply(clock, {1: beat}, b"x"))
    detector.review(now)


def test_a_gateway_is_seen_by_beats_that_change_and_from_the_read_before() -> None:
    detector = FailureDetector(0, 2, 9, SECOND)
    _read(detector, SECOND, 1)
    for number in range(2, 6):
        _read(detector, number * SECOND // 2 + SECOND, number)
    last = 3 * SECOND + SECOND // 2
    assert detector.observations[1].alive_since_ns == last - SECOND // 2 and not detector.unresponsive
    detector.review(last - SECOND // 2 + LEASE_NS + 1)
    assert detector.unresponsive == {1} and not detector.expired
    detector.review(last - SECOND // 2 + EXPIRY_NS + 1)
    assert detector.expired == {1}


def test_a_beat_that_lay_on_its_way_is_as_old_as_the_counters_clock_says() -> None:
    detector = FailureDetector(0, 2, 9, 100 * SECOND)
    for number in range(1, 5):
        _read(detector, 100 * SECOND + number * HEARTBEAT_NS, number)
    since = detector.observations[1].alive_since_ns
    _read(detector, 100 * SECOND + 5 * HEARTBEAT_NS, 5, late=SECOND * 10)
    assert detector.observations[1].alive_since_ns == since


def test_what_a_healed_half_brings_up_again_is_no_sign_of_life() -> None:
    detector = FailureDetector(0, 2, 9, 100 * SECOND)
    for number in range(1, 5):
        _read(detector, 100 * SECOND + number * HEARTBEAT_NS, number)
    seen = detector.observations[1]
    _read(detector, 100 * SECOND + 6 * HEARTBEAT_NS, 2)
    assert detector.observations[1] == seen


def test_claims_that_are_none_are_passed_over() -> None:
    whole = pack_claim(Claim(1, 2, 0.5, 3.0, 4.0, 5.0, 6))
    assert unpack_claim(whole) == Claim(1, 2, 0.5, 3.0, 4.0, 5.0, 6)
    assert unpack_claim(whole[:-1]) is None and unpack_claim(b"") is None
    assert unpack_claim(pack_claim(Claim(1, 2, 2.0, 3.0, 4.0, 5.0, 6))) is None
    assert unpack_claim(pack_claim(Claim(1, 2, 0.5, float("nan"), 4.0, 5.0, 6))) is None


def test_a_reply_is_read_whole_or_not_at_all() -> None:
    call = Call(1, 0, 7, b"v")
    good = [1, [b"0", b"v", b"id", b"t", b"junk", b"x"], 1, [b"12", b"345000"]]
    assert parse_reply(call, good) == Reply(12_345, {0: b"v"}, b"t", True)
    assert not parse_reply(call, [0, *good[1:]]).field_was_missing
    for wrong in ([1, [b"0"], 1, [b"1", b"2"]], [1, None, 1, [b"1", b"2"]], [1, [], 1, [b"x", b"2"]], []):
        with pytest.raises(CounterError):
            parse_reply(call, wrong)
    with pytest.raises(CounterError, match="LOADING"):
        parse_reply(call, [ErrorReply("LOADING later"), *good[1:]])


def test_all_names_of_a_partition_lie_in_one_slot() -> None:
    names = [key_of("ts", 3, member) for member in (None, 1, 2, -5)]
    assert len({slot_of(name) for name in names}) == 1 and len(set(names)) == 4
    # From the cluster specification: the reference value of its CRC16.
    assert slot_of(b"123456789") == 0x31C3 % 16384


def test_the_stand_in_sends_away_what_lies_elsewhere() -> None:
    cluster = Cluster(2)
    name = key_of("ts", 0, None)
    owner = cluster.shards[cluster.owner[slot_of(name)]]
    other = cluster.shards[1 - owner.number]
    words = commands_for(Call(1, 0, None, b"v"), "ts", 0, b"t")[1]
    assert owner.execute(0, words, 0) == 1
    assert str(other.execute(0, words, 0)).startswith("MOVED ")
    cluster.migrating[slot_of(name)] = other.number
    assert owner.execute(0, (b"HGETALL", name), 0) == [b"0", b"v"]
    assert str(owner.execute(0, (b"HGETALL", name + b"x"), 0)).startswith("ASK ")
    assert other.execute(0, (b"HGETALL", name + b"x"), 0, asking=True) == []


def test_a_promoted_replica_has_lost_the_last_writes_and_names_end() -> None:
    shard = Shard(0)
    shard.execute(0, (b"HSET", b"n", b"0", b"old"), 1000)
    shard.execute(0, (b"PEXPIRE", b"n", b"5000"), 1000)
    shard.execute(0, (b"PING",), 1400)
    shard.execute(0, (b"HSET", b"n", b"0", b"new"), 2000)
    shard.promote(2000, 500)
    assert shard.execute(0, (b"HGETALL", b"n"), 2000) == [b"0", b"old"]
    assert shard.execute(0, (b"HGETALL", b"n"), 6001) == []
    shard.write_error = "READONLY no"
    assert isinstance(shard.execute(0, (b"HSET", b"n", b"0", b"x"), 2000), CommandError)


@pytest.mark.parametrize("seed", range(24))
def test_what_one_lets_go_no_other_takes_too_soon(seed: int) -> None:
    assert tight_world(seed) == []


@pytest.mark.parametrize("seed", range(8))
def test_while_nobody_hears_quotas_go_over_by_what_each_knew_of_at_most(seed: int) -> None:
    assert deaf_world(seed) == []


@pytest.mark.parametrize("seed", range(4))
def test_calm_worlds_serve_what_is_due_and_keep_quotas(seed: int) -> None:
    assert calm_world(seed) == []


# The first world that shows each; the whole list is played by `benchmarks.counter`, whose last run says which
# are not shown by any.
SHOWN = {
    "proof-not-awaited": ("tight", 12),
    "proof-without-beats": ("tight", 12),
    "not-fitted": ("tight", 13),
    "raised-before-the-answer": ("tight", 2),
    "even-at-once": ("tight", 29),
    "out-too-short": ("tight", 12),
    "old-claims-believed": ("calm", 0),
    "floor-of-the-whole": ("tight", 1),
    "lost-field-not-noticed": ("tight", 123),
    "whole-while-deaf": ("deaf", 0),
    "beats-after-a-failure": ("faults", 1),
    "use-not-taken-off": ("calm", 0),
    "release-stuck": ("calm", 4),
}


@pytest.mark.parametrize("name", SHOWN)
def test_a_planted_fault_is_shown(name: str) -> None:
    kind, seed = SHOWN[name]
    assert not KINDS[kind](seed) and shows(name, kind, seed)
