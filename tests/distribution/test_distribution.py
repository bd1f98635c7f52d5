"""Handing configuration down: log, replicas and gateways in virtual time."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trackspread.distribution.log import Log, Snapshot
from trackspread.distribution.log import entries_that_fit
from trackspread.distribution.replica import Replica
from trackspread.decide.time_units import SECOND
from trackspread.distribution.actions import Send
from trackspread.distribution.messages import (
    BeginHistory,
    Committed,
    Delta,
    Message,
    Poll,
    Prepare,
    Put,
    TooManyKeys,
)
from trackspread.distribution.settings import ReplicaSettings
from trackspread.distribution.versions import (
    MAX_NAME_CHARACTERS,
    MAX_VALUE_BYTES,
    NO_VERSION,
    START,
    Cursor,
    Entry,
    Version,
)
from trackspread.membership.actions import StatusEvent
from trackspread.membership.identifiers import Epoch
from trackspread.distribution.wire import Wire
from trackspread.distribution.wire import MAGIC, MAX_DATAGRAM_BYTES
from trackspread.membership.wire import Keys

FIRST: Epoch = (1, 0)


def entry(
    sequence: int, key: str = "k", value: bytes | None = b"v", epoch: Epoch = FIRST, service: str = "s"
) -> Entry:
    return Entry(Version(1, epoch, sequence), service, key, value)


def filled(count: int, recent: int = 100, epoch: Epoch = FIRST) -> Log:
    """With entries 1 to `count`, all of them pending."""
    log = Log(recent)
    for sequence in range(1, count + 1):
        log.append(entry(sequence, f"k{sequence}", epoch=epoch))
    return log


def versions(entries: list[Entry] | None) -> list[int] | None:
    return [each.version.sequence for each in entries] if entries is not None else None


def test_an_entry_that_does_not_follow_the_last_is_an_error() -> None:
    log = filled(2)
    for wrong in (entry(2), entry(4), entry(3, epoch=(0, 0))):
        with pytest.raises(ValueError, match="does not follow"):
            log.append(wrong)


def test_what_is_pending_changes_no_value_until_it_is_committed() -> None:
    log = filled(3)
    assert (len(log), log.committed, log.last.sequence) == (0, NO_VERSION, 3)
    assert versions(log.commit(Version(1, FIRST, 2))) == [1, 2]
    assert (len(log), log.committed.sequence, len(log.pending)) == (2, 2, 1)
    assert log.commit(Version(1, FIRST, 1)) == [], "never taken back"
    assert versions(log.commit(Version(1, FIRST, 9))) == [3], "nothing beyond the last"


def test_a_key_that_is_deleted_is_gone_and_its_service_with_the_last() -> None:
    log = Log(10)
    changes = [("a", b"1"), ("b", b"2"), ("a", None), ("b", None), ("x", None)]
    for sequence, (key, value) in enumerate(changes, 1):
        log.append(entry(sequence, key, value))
        log.commit(log.last)
        pieces, end = log.next_piece(START, lambda service: True)
        assert end and [each.key for each in pieces] == [["a"], ["a", "b"], ["b"], [], []][sequence - 1]
    assert log.snapshot == {} and len(log) == 0


def test_entries_are_accepted_behind_a_version_that_both_have_and_replace_what_is_pending_alone() -> None:
    log, newer = filled(4), (2, 1)
    log.commit(Version(1, FIRST, 2))
    assert not log.accept(Version(1, newer, 4), [entry(5, epoch=newer)])
    assert not log.accept(Version(1, FIRST, 5), [entry(6, epoch=newer)])
    assert log.accept(Version(1, FIRST, 3), [entry(4, "other", epoch=newer)])
    assert log.last == Version(1, newer, 4) and [each.key for each in log.pending] == ["k3", "other"]
    assert log.accept(Version(1, FIRST, 3), []), "a word that comes late takes nothing away"
    assert log.accept(Version(1, FIRST, 2), [entry(3, "k3")]) and log.last == Version(1, newer, 4)


def test_only_so_many_committed_entries_are_kept() -> None:
    log = filled(10, recent=3)
    log.commit(Version(1, FIRST, 8))
    assert versions(log.committed_after(Version(1, FIRST, 5))) == [6, 7, 8]
    assert (
        log.committed_after(Version(1, FIRST, 4)) is None and log.entries_after(Version(1, FIRST, 4)) is None
    )
    assert versions(log.entries_after(Version(1, FIRST, 6))) == [7, 8, 9, 10]
    assert versions(log.entries_after(Version(1, FIRST, 9))) == [10]
    assert [n for n in range(1, 12) if log.holds(Version(1, FIRST, n))] == [5, 6, 7, 8, 9, 10]
    assert not log.holds(NO_VERSION) and not log.holds(Version(1, (1, 1), 7))


def test_a_snapshot_takes_the_place_of_a_log_unless_that_has_its_version() -> None:
    snapshot: Snapshot = {"s": {"z": entry(7, "z")}}
    short = filled(5)
    short.install(snapshot, Version(1, FIRST, 7))
    assert short.committed == short.last == Version(1, FIRST, 7) and short.snapshot == snapshot
    assert short.entries_after(short.committed) == [] and short.holds(short.committed) and not short.pending
    long = filled(9)
    long.install(snapshot, Version(1, FIRST, 7))
    assert (long.committed.sequence, long.last.sequence) == (7, 9), "what it has accepted it keeps"
    assert len(long) == 7


def test_a_datagram_takes_entries_from_the_first_on_and_one_at_least() -> None:
    large = [entry(n, value=b"x" * MAX_VALUE_BYTES) for n in range(1, 4)]
    assert entries_that_fit(large) == ((large[0],), True)
    assert entries_that_fit(large[:1]) == ((large[0],), False)
    assert entries_that_fit([]) == ((), False)


@given(st.integers(0, 1 << 32), st.integers(0, 120))
@settings(max_examples=60, deadline=None)
def test_pieces_together_are_the_snapshot_of_the_services_wanted(seed: int, count: int) -> None:
    rng, log = random.Random(seed), Log(10)
    for sequence in range(1, count + 1):
        value = rng.choice([None, rng.randbytes(rng.randint(0, MAX_VALUE_BYTES))])
        log.append(entry(sequence, rng.choice("abcdefgh"), value, service=rng.choice(["s", "t", "u"])))
        log.commit(log.last)
    wanted, cursor, made, end = {"s", "u"}, START, list[Entry](), False
    while not end:
        piece, end = log.next_piece(cursor, wanted.__contains__)
        made += piece
        if piece:
            cursor = Cursor(piece[-1].service, piece[-1].key)
    expected = {s: keys for s, keys in log.snapshot.items() if s in wanted}
    found: Snapshot = {}
    for each in made:
        found.setdefault(each.service, {})[each.key] = each
    assert found == expected and len(made) == sum(map(len, expected.values()))


def test_datagrams_come_back_as_they_were_and_nothing_else_is_believed() -> None:
    wire = Wire("fleet", Keys(b"a key of many bytes"))
    largest = entry(
        1 << 40, "k" * MAX_NAME_CHARACTERS, b"x" * MAX_VALUE_BYTES, (1 << 40, 18), "s" * MAX_NAME_CHARACTERS
    )
    for body in (
        Delta(1 << 40, largest.version, 1 << 30, (largest,), True),
        Put(7, "s", "k", None),
        Poll(1, NO_VERSION, 1 << 55, Cursor("s", "k")),
        Prepare((3, 4), 2, True),
    ):
        data = wire.pack(Message("fleet", 3, 1 << 42, body))
        assert len(data) <= MAX_DATAGRAM_BYTES
        assert wire.unpack(data) == Message("fleet", 3, 1 << 42, body)
        assert wire.unpack(data[:-1]) is None and wire.unpack(b"x" + data) is None
    assert Wire("fleet", Keys(b"another key, also long")).unpack(data) is None
    assert Wire("other", wire.keys).unpack(data) is None
    assert wire.unpack(wire.pack(Message("fleet", 0, 0, Put(1, "s", "k", b"x" * MAX_DATAGRAM_BYTES)))) is None
    assert Wire("fleet", Keys(b"a new key, current now", b"a key of many bytes")).unpack(data) is not None


class Longer(msgspec.Struct, frozen=True, array_like=True, tag="Prepare"):
    """As `Prepare` may be in a newer version."""

    epoch: Epoch
    round: int
    begin: bool
    more: str = "unknown to older ones"


class Unknown(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A body that only a newer version has."""

    number: int


class AnyLetter(msgspec.Struct, frozen=True, array_like=True):
    """A message of whichever version."""

    fleet: str
    replica: int
    born: int
    body: Longer | Unknown


def test_a_newer_version_s_words_are_read_as_far_as_they_are_known() -> None:
    wire = Wire("fleet", Keys())

    def packed(body: Longer | Unknown) -> bytes:
        payload = msgspec.msgpack.encode(AnyLetter("fleet", 1, 2, body))
        return MAGIC + wire.keys.sign(payload) + payload

    assert wire.unpack(packed(Longer((3, 1), 2, False))) == Message("fleet", 1, 2, Prepare((3, 1), 2, False))
    assert wire.unpack(packed(Unknown(1))) is None and wire.dropped == {"spoilt": 1}


def replica(number: int = 0, count: int = 3, keys: int = 10) -> Replica:
    addresses = tuple((f"10.0.0.{n}", 1) for n in range(count))
    return Replica(ReplicaSettings(number, 5, addresses, max_keys=keys), 0, 1)


def test_a_lease_under_an_epoch_that_is_outdone_leads_nothing_and_says_so() -> None:
    one = replica()
    one.on_message(0, 1, 1, Prepare((9, 1), 1, False), ("10.0.0.1", 1))
    assert (
        one.set_leadership(0, (8, 0)) == [StatusEvent("outdone", {"by": (9, 1)})] and one.leadership is None
    )
    assert one.set_leadership(1, (8, 0)) == [], "once"
    assert one.set_leadership(2, (10, 0)) != [] and one.leadership is not None
    one.set_leadership(3, None)
    assert one.set_leadership(4, (10, 0)) == [] and one.leadership is None, (
        "an epoch that was given up is not led again"
    )


def test_only_so_many_keys_may_have_a_value() -> None:
    one, asker = replica(count=1, keys=3), ("10.0.0.9", 1)
    one.set_leadership(0, (1, 0))
    one.on_message(0, -1, 0, BeginHistory(1), asker)
    for now in range(1, 10):
        one.tick(now * SECOND)

    def put(key: str, value: bytes | None) -> object:
        made = one.on_message(20 * SECOND, -1, 0, Put(1, "s", key, value), asker)
        return next(each.body for each in made if isinstance(each, Send))

    answers = [put(key, b"v") for key in ("a", "b", "c")]
    assert all(isinstance(each, Committed) for each in answers)
    assert put("d", b"v") == TooManyKeys(1, 3) and isinstance(put("a", b"other"), Committed)
    assert isinstance(put("b", None), Committed) and isinstance(put("d", b"v"), Committed)
