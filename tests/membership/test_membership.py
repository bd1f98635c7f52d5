"""The view's core: words that merge, probes, parts that never add up to more, and whole fleets in virtual
time."""

from __future__ import annotations

import random
from functools import reduce
from operator import or_
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trackspread.config.addresses import ConfigError
from trackspread.config.operator import Fleet, parse
from trackspread.membership.gossip import MAX_UPDATES_PER_MESSAGE, GossipQueue
from trackspread.membership.identifiers import MS, SECOND, Epoch, MemberId
from trackspread.membership.lease_timing import (
    CONTACT_TIMEOUT_NS,
    RENEWAL_SPAN_NS,
    grantor_duration_ns,
    holder_duration_ns,
)
from trackspread.membership.member_table import GONE_RETENTION_NS, MemberTable
from trackspread.membership.messages import (
    GossipUpdate,
    MemberMessage,
    Ping,
    State,
    TableSnapshot,
    View,
    ViewAnnouncement,
)
from trackspread.membership.prober import MAX_HEALTH, Prober
from trackspread.membership.slot_allocation import (
    ALL_SLOTS,
    SLOT_COUNT,
    allocate,
    format_slots,
    lowest_slots,
    slots_from_bytes,
    slots_of,
    slots_to_bytes,
)
from trackspread.membership.slot_lease import SlotLease
from trackspread.membership.slot_leases import SlotLeases
from trackspread.membership.slowness import Slowness
from trackspread.membership.wire import MAX_DATAGRAM_BYTES, Keys, Wire
from trackspread.node.fleet_keys import read_keys
from trackspread.testing.judge import membership_records
from trackspread.testing.virtual.membership.world import KEEP, World

ME = GossipUpdate("me", 10, 0, State.ALIVE, "127.0.0.1", 1)


def word(name: str = "a", born: int = 5, life: int = 0, state: State = State.ALIVE) -> GossipUpdate:
    return GossipUpdate(name, born, life, state, "127.0.0.2", 2)


words = st.builds(word, st.sampled_from("abc"), st.integers(1, 3), st.integers(0, 2), st.sampled_from(State))


@given(st.lists(words, max_size=25), st.randoms(use_true_random=False))
def test_words_merge_to_the_same_whatever_their_order(said: list[GossipUpdate], rng: random.Random) -> None:
    tables = []
    for _ in range(3):
        member_table = MemberTable(ME, 10)
        for each in said:
            member_table.apply(0, each, "x")
        tables.append({name: person.update.rank for name, person in member_table.by_name.items()})
        rng.shuffle(said)
    assert tables[0] == tables[1] == tables[2]


@given(st.lists(st.tuples(st.one_of(words, st.none()), st.integers(0, GONE_RETENTION_NS)), max_size=25))
def test_members_here_are_those_that_the_table_says_after_each_change(
    said: list[tuple[GossipUpdate | None, int]],
) -> None:
    """The kept ones are never stale, whether a member is added, gone, replaced or forgotten."""
    member_table = MemberTable(ME, 1)
    now = 0
    for each, later in said:
        now += later
        if each is None:
            member_table.remove_expired(now)
        else:
            member_table.apply(now, each, "x")
        here = [person for person in member_table.by_name.values() if person.update.state <= State.SUSPECT]
        assert member_table.present() == here
        assert member_table.present_count() == 1 + len(here)
        member_table.present().clear()  # the caller's own


def test_of_itself_a_member_believes_nothing_and_answers_with_a_new_life() -> None:
    member_table = MemberTable(ME, 10)
    for life, state in enumerate((State.SUSPECT, State.DEAD, State.SUSPECT)):
        assert member_table.apply(0, word("me", 10, life, state), "x")
        assert (member_table.own_update.incarnation, member_table.own_update.state) == (life + 1, State.ALIVE)
    assert not member_table.apply(0, word("me", 10, 0, State.DEAD), "x"), "an old word"
    assert not member_table.apply(0, word("me", 9, 5, State.DEAD), "x"), "of a former process"
    assert member_table.newer_process is None
    assert not member_table.apply(0, word("me", 11), "x") and member_table.newer_process is not None


def test_a_table_is_bounded_and_those_gone_longest_make_room() -> None:
    member_table = MemberTable(ME, 3)
    for number in range(6):
        state = State.DEAD if number in (1, 2) else State.ALIVE
        member_table.apply(number, word(f"m{number}", state=state), "x")
    assert member_table.apply(9, word("new"), "x")
    assert "m1" not in member_table.by_name and "m2" in member_table.by_name
    assert member_table.apply(9, word("newer"), "x") and len(member_table.by_name) == 6
    assert not member_table.apply(9, word("none"), "x") and member_table.rejected_updates == 1


def test_a_word_is_told_a_bounded_number_of_times_the_newest_first() -> None:
    updates = GossipQueue()
    for number in range(MAX_UPDATES_PER_MESSAGE + 3):
        updates.add(word(f"m{number}"))
    first = updates.next_updates(10)
    second = updates.next_updates(10)
    assert len(first) == MAX_UPDATES_PER_MESSAGE
    assert {w.name for w in second} > {
        f"m{n}" for n in range(MAX_UPDATES_PER_MESSAGE, MAX_UPDATES_PER_MESSAGE + 3)
    }
    told = sum(len(updates.next_updates(10)) for _ in range(50)) + len(first) + len(second)
    assert not len(updates) and told == 6 * (MAX_UPDATES_PER_MESSAGE + 3)


def test_probes_take_turns_and_a_late_tick_is_ones_own_fault() -> None:
    probing, among = Prober(300 * MS, random.Random(1)), [(f"m{n}", 1) for n in range(5)]
    seen: list[MemberId] = []
    for turn in range(10):
        assert probing.start_interval(turn * 300 * MS)
        probe = probing.start_next(turn * 300 * MS, among)
        assert probe is not None and probing.record_ack(probe.sequence) == (probe.member_id, True)
        seen.append(probe.member_id)
    assert sorted(seen[:5]) == sorted(seen[5:]) == among and probing.health == 0
    assert probing.start_interval(10 * SECOND) and probing.health == 1 and probing.timeout_factor() == 2


def test_a_probe_that_no_helper_says_a_word_of_costs_ones_own_health() -> None:
    probing = Prober(300 * MS, random.Random(1))
    for turn in range(2 * MAX_HEALTH):
        probe = probing.start(0, ("a", 1))
        assert probe is not None and probing.make_indirect(100 * SECOND) == [probe]
        probe.helpers = 3
        if turn % 4 == 3:
            probing.record_nack(probe.sequence)
        before = probing.health
        assert probing.take_failed(100 * SECOND) == [("a", 1)]
        assert probing.health == (before if turn % 4 == 3 else min(MAX_HEALTH, before + 1))


def test_enough_that_find_it_slow_make_it_so_and_one_alone_does_not() -> None:
    slow = Slowness()
    slow.record_report(0, "a", True)
    assert not slow.is_slow(0, 4, 0)
    slow.record_report(SECOND, "b", True)
    assert slow.is_slow(SECOND, 4, 0)
    assert slow.is_slow(2 * SECOND, 4, 0) and not slow.is_slow(9 * SECOND, 4, 0)
    found = [slow.record_answer(n * 300 * MS, "c", n < 6) for n in range(20)]
    assert found.count(True) >= 1 and found.count(False) == 1 and found.index(True) < found.index(False)


# Parts.


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 10**6), st.booleans())
def test_no_slot_is_acted_on_by_two(seed: int, successor: bool) -> None:
    """Members that ask, lose words and hear late ones, under a coordinator and then its successor."""
    rng = random.Random(seed)
    members = {(f"m{n}", 1): SlotLease() for n in range(rng.randint(2, 6))}
    clocks = {who: rng.uniform(0.99, 1.01) for who in members}
    book, now = SlotLeases(0, (1, 0), KEEP), 0
    epoch: Epoch = (1, 0)
    late: list[tuple[MemberId, tuple[int, Epoch, int, int]]] = []
    for step in range(120):
        now += rng.randint(1 * MS, 300 * MS)
        if successor and step == 60:
            epoch, book = (2, 1), SlotLeases(now, (2, 1), KEEP)
        who = rng.choice(list(members))
        holding, own = members[who], int(now * clocks[who])
        if holding.start_request(epoch):
            wanted = rng.choice(
                [0, slots_of((rng.randrange(6), 6)), slots_of((rng.randrange(2), 2)), ALL_SLOTS]
            )
            serial, part = book.grant(now, who, wanted, holding.serial, holding.usable_slots(own))
            if rng.random() < 0.7:
                late.append((who, (own, epoch, serial, part)))
        rng.shuffle(late)
        while late and rng.random() < 0.6:
            whose, grant = late.pop()
            members[whose].accept(int(now * clocks[whose]), *grant, KEEP)
        held_now = [h.usable_slots(int(now * clocks[w])) for w, h in members.items()]
        assert sum(part.bit_count() for part in held_now) == reduce(or_, held_now).bit_count()


def test_whoever_shrinks_does_so_at_once_and_whoever_grows_waits_for_proof_or_the_end() -> None:
    book, a, b = SlotLeases(0, (1, 0), KEEP), ("a", 1), ("b", 1)
    half = slots_of((0, 2))
    now = grantor_duration_ns(KEEP)  # nothing of a predecessor is left
    serial, part = book.grant(now, a, ALL_SLOTS, 0, 0)
    assert part == ALL_SLOTS and book.grant(now, b, half, 0, 0)[1] == 0
    # StatusEvent of less, a is not yet known to have heard it.
    again, less = book.grant(now, a, ALL_SLOTS ^ half, serial, part)
    assert less == ALL_SLOTS ^ half and book.grant(now, b, half, 0, 0)[1] == 0
    book.grant(now, a, ALL_SLOTS ^ half, again, less)
    assert book.grant(now, b, half, 0, 0)[1] == half
    # a falls silent: b has the whole once a's grant has surely ended, and not before.
    assert book.grant(now + grantor_duration_ns(KEEP) - 1, b, ALL_SLOTS, 0, 0)[1] == half
    assert book.grant(now + grantor_duration_ns(KEEP), b, ALL_SLOTS, 0, 0)[1] == ALL_SLOTS


def test_a_grant_counts_from_before_it_was_asked_for_and_an_older_one_not_at_all() -> None:
    holding = SlotLease()
    assert holding.start_request((1, 0)) and holding.accept(900 * MS, 0, (1, 0), 2, 50, RENEWAL_SPAN_NS)
    assert holding.usable_slots(holder_duration_ns(RENEWAL_SPAN_NS) - 1) == 50 and holding.usable_slots(
        holder_duration_ns(RENEWAL_SPAN_NS)
    ) == 0 < RENEWAL_SPAN_NS - holder_duration_ns(RENEWAL_SPAN_NS)
    for serial in (1, 2):
        assert not holding.accept(SECOND, SECOND, (1, 0), serial, 99, RENEWAL_SPAN_NS)
    assert holding.start_request((2, 0)) and holding.usable_slots(SECOND) == 50, "held until it ends"
    assert not holding.accept(SECOND, SECOND, (1, 0), 9, 99, RENEWAL_SPAN_NS) and not holding.start_request(
        (1, 9)
    )


def test_a_part_is_acted_on_only_in_touch_with_a_seed_that_knows_of_it() -> None:
    holding = SlotLease()
    assert holding.start_request((1, 0)) and holding.accept(0, 0, (1, 0), 1, 50, 10 * RENEWAL_SPAN_NS)
    assert (
        holding.usable_slots(CONTACT_TIMEOUT_NS - 1) == 50 and holding.usable_slots(CONTACT_TIMEOUT_NS) == 0
    )
    holding.extend_contact(RENEWAL_SPAN_NS)
    assert (
        holding.usable_slots(RENEWAL_SPAN_NS + CONTACT_TIMEOUT_NS - 1) == 50
        and holding.usable_slots(RENEWAL_SPAN_NS + CONTACT_TIMEOUT_NS) == 0
    )
    for at in range(0, 20 * RENEWAL_SPAN_NS, RENEWAL_SPAN_NS // 2):
        holding.extend_contact(at)
    assert (
        holding.usable_slots(holder_duration_ns(10 * RENEWAL_SPAN_NS) - 1) == 50
        and holding.usable_slots(holder_duration_ns(10 * RENEWAL_SPAN_NS)) == 0
    )


def test_a_new_coordinator_gives_what_members_say_is_free_and_keeps_the_rest_until_it_has_ended() -> None:
    book, a, b, c = SlotLeases(0, (2, 0), KEEP), ("a", 1), ("b", 1), ("c", 1)
    first, half, second = slots_of((0, 3)), slots_of((0, 6)), slots_of((1, 3))
    assert book.grant(0, a, half, 0, first)[1] == half
    assert book.grant(MS, c, ALL_SLOTS, 0, 0)[1] == 0, "a is not known to have heard that it has less"
    assert book.grant(2 * MS, a, half, 1, half)[1] == half
    serial, part = book.grant(3 * MS, c, ALL_SLOTS, 2, 0)
    assert part == first ^ half, "what a gave up; all else may be out with those that have not asked"
    assert (
        book.held_by_others(3 * MS, (a, c)) == ALL_SLOTS ^ first
        and book.held_by_others(3 * MS, (a, b, c)) == 0
    )
    assert book.grant(4 * MS, b, second, 0, second)[1] == second
    assert book.grant(grantor_duration_ns(KEEP) - 1, c, ALL_SLOTS, serial, part)[1] == part
    assert (
        book.grant(grantor_duration_ns(KEEP), c, ALL_SLOTS, serial + 2, part)[1] == ALL_SLOTS ^ half ^ second
    )
    fresh = SlotLeases(0, (2, 0), KEEP)
    fresh.all_seeds_restarted(0)
    assert fresh.grant(grantor_duration_ns(RENEWAL_SPAN_NS) - 1, a, ALL_SLOTS, 0, 0)[1] == 0
    assert fresh.grant(grantor_duration_ns(RENEWAL_SPAN_NS), a, ALL_SLOTS, 1, 0)[1] == ALL_SLOTS


def test_slots_of_places_are_disjoint_and_all_and_read_back() -> None:
    for places in (1, 3, 7, 40, 1000):
        seats = [slots_of((n, places)) for n in range(places)]
        assert sum(each.bit_count() for each in seats) == SLOT_COUNT and reduce(or_, seats) == ALL_SLOTS
        assert all(each for each in seats)
    assert slots_of((-1, 0)) == slots_of((3, 3)) == 0
    mixed = slots_of((1, 7)) | slots_of((4, 7)) | 1 << SLOT_COUNT - 1
    assert slots_from_bytes(slots_to_bytes(mixed)) == mixed and slots_from_bytes(b"") == 0
    assert slots_from_bytes(b"\xff" * 500) == ALL_SLOTS, "never more than there are"
    assert (
        format_slots(0) == ""
        and format_slots(ALL_SLOTS) == f"0-{SLOT_COUNT - 1}"
        and format_slots(0b1101) == "0-0,2-3"
    )
    assert membership_records.parse_slots(format_slots(mixed)) == mixed
    assert lowest_slots(0b1101, 2) == 0b101 and lowest_slots(0b1101, 9) == 0b1101


@given(st.integers(1, 12), st.integers(0, 6), st.sets(st.integers(0, 11)), st.randoms(use_true_random=False))
def test_slots_are_assigned_whole_evenly_by_place_and_move_little(
    places: int, without: int, gone: set[int], rng: random.Random
) -> None:
    members = [(f"m{n}", 1) for n in range(places) if n not in gone] + [(f"x{n}", 1) for n in range(without)]
    where = {(f"m{n}", 1): (n, places) for n in range(places)}
    free = ALL_SLOTS & ~reduce(
        or_, [slots_of((n, places)) for n in gone if n < places and rng.random() < 0.5], 0
    )
    made = allocate(members, where, {}, free)
    if not members:
        return
    counts = [each.bit_count() for each in made.values()]
    assert sum(counts) == free.bit_count() and reduce(or_, made.values()) == free
    least = free.bit_count() // len(members)
    assert min(counts) >= least - 1
    width = -(-SLOT_COUNT // places)
    assert max(counts) <= max(least + 1, width)
    for who, part in made.items():
        kept = (part & slots_of(where.get(who, (-1, 0)))).bit_count()
        assert kept >= min(least, slots_of(where.get(who, (-1, 0))).bit_count()) - 1
    again = allocate(members, where, made, free)
    assert sum((again[who] & ~part).bit_count() for who, part in made.items()) <= 2 * len(members)


# Bytes.


def message(**changes: object) -> MemberMessage:
    made: dict[str, object] = {
        "fleet": "f",
        "name": "a",
        "created_at_ms": 1,
        "body": Ping(3, ("b", 2)),
        "digest": 7,
    }
    return MemberMessage(**{**made, **changes})  # type: ignore[arg-type]


def test_what_is_spoilt_foreign_or_wrongly_signed_is_counted_and_never_believed() -> None:
    keyed, wire = Wire("f", Keys(b"k" * 16), 8), Wire("f", Keys(), 8)
    data = keyed.pack(message())
    assert keyed.unpack(data) == message() and wire.unpack(data) is None
    rng = random.Random(1)
    for _ in range(300):
        spoilt = bytearray(data)
        spoilt[rng.randrange(len(spoilt))] ^= 1 << rng.randrange(8)
        assert keyed.unpack(bytes(spoilt)) is None
        assert wire.unpack(rng.randbytes(rng.randrange(60))) is None
        junk = rng.randbytes(rng.randrange(40))
        assert wire.unpack(b"ts\x01" + wire.keys.sign(junk) + junk) is None
    assert wire.unpack(Wire("other", Keys(), 8).pack(message(fleet="other"))) is None
    assert {"digest", "foreign", "spoilt", "another fleet"} == set(wire.dropped)


def test_keys_change_in_service_by_way_of_the_previous_one() -> None:
    old, both, new = (Wire("f", k, 8) for k in (Keys(b"o" * 16), Keys(b"n" * 16, b"o" * 16), Keys(b"n" * 16)))
    assert both.unpack(old.pack(message())) and both.unpack(new.pack(message()))
    assert new.unpack(both.pack(message()))
    assert old.unpack(new.pack(message())) is None and new.unpack(old.pack(message())) is None


def test_a_datagram_holds_what_fits_and_a_table_what_its_bound_allows() -> None:
    wire = Wire("f", Keys(), 64)
    many = tuple(word(f"gateway-with-a-long-name-{n:03d}", 1_790_000_000_000) for n in range(40))
    data = wire.pack(message(updates=many))
    kept = wire.unpack(data)
    assert len(data) <= MAX_DATAGRAM_BYTES and kept is not None and 8 <= len(kept.updates) < 40
    view = View((1, 2, 3), (1, 2, 2), tuple((f"gateway-{n:050d}", 1_790_000_000_000) for n in range(30)))
    kept = wire.unpack(wire.pack(message(body=ViewAnnouncement(view.number, view))))
    assert kept is not None and kept.body == ViewAnnouncement(view.number, None)
    table = TableSnapshot("f", "a", 1, many, view, None)
    framed = wire.pack_table(table)
    assert wire.unpack_table(framed[4:]) == table and int.from_bytes(framed[:4]) == len(framed) - 4
    assert len(framed) < wire.max_table_bytes


@pytest.mark.parametrize(
    "text, wanted",
    [
        ('listen = "127.0.0.1:1"', "fleet.name: found nothing, wanted a name"),
        ('name = "a b"', "fleet.name: found 'a b'"),
        ('name = "f"', "fleet.listen: found nothing, wanted host:port"),
        ('name = "f"\nlisten = "127.0.0.1:1"', "fleet.seeds: found 0, wanted 1 to 9"),
        (
            'name = "f"\nlisten = "127.0.0.1:1"\nseeds = ["no.example:1"]',
            "fleet.seeds[0]: found 'no.example:1'",
        ),
        ('name = "f"\nlisten = "127.0.0.1:0"\nseeds = ["127.0.0.1:1"]', "fleet.listen: found port 0"),
        (
            'name = "f"\nlisten = "0.0.0.0:7"\nseeds = ["127.0.0.1:1"]',
            "wanted an address that others can reach",
        ),
        ('name = "f"\nlisten = "127.0.0.1:1"\nseeds = ["127.0.0.1:1", "127.0.0.1:1"]', "found one twice"),
        ('name = "f"\nlisten = "127.0.0.1:1"\nseeds = ["127.0.0.1:1"]\nprevious = "x"', "fleet.key: found"),
        ("period_ms = 0", "fleet.period_ms: found 0"),
    ],
)
def test_mistakes_in_the_table_are_one_line(text: str, wanted: str) -> None:
    with pytest.raises(ConfigError, match=r"^f: ") as found:
        parse(f"[fleet]\n{text}\n", "f")
    assert wanted in str(found.value) and "\n" not in str(found.value)


def test_a_key_file_that_is_not_there_or_too_short_is_one_line(tmp_path: Path) -> None:
    short = tmp_path / "short"
    short.write_bytes(b"secret\n")
    with pytest.raises(ConfigError, match=r"fleet.key: .*none: No such file"):
        read_keys(Fleet(key=str(tmp_path / "none")))
    with pytest.raises(ConfigError, match=r"fleet.key: .*short: found 6 bytes, wanted 16 or more"):
        read_keys(Fleet(key=str(short)))


# Whole fleets in virtual time.


def settled(count: int, seed: int = 1, seeds: int = 3) -> World:
    world = World(seed, count, seeds)
    world.begin(6 * SECOND)
    return world
