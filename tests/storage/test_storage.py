"""Tests the state that outlives a process: documents, slots, journals and the real folder."""

from __future__ import annotations

import errno
import os
import random
from pathlib import Path

import msgspec
import pytest

from trackspread.storage.calls import (
    Create,
    FolderContents,
    InspectFolder,
    Read,
    Replace,
    Save,
    parse_segment_name,
    perform,
    segment_name,
)
from trackspread.storage.directory import Directory
from trackspread.storage.document import DocumentError, Schema
from trackspread.storage.journal import MARK_EVERY, Journal
from trackspread.storage.slots import (
    HEADER_BYTES,
    PAYLOAD_BYTES,
    SLOT_BYTES,
    SegmentHeader,
    Scan,
    SegmentError,
    checksum_seed,
    count_written_slots,
    pack_header,
    pack_slot,
    scan,
    slot_offset,
    unpack_header,
)
from trackspread.testing.virtual.usage.disk import Disk, VirtualFiles


class Example(msgspec.Struct):
    name: str
    size: int = 0


def _payload(number: int) -> bytes:
    return b"\x01" + number.to_bytes(8, "little") + bytes(PAYLOAD_BYTES - 9)


def test_document_round_trip_detects_any_changed_bit() -> None:
    """Guards against a damaged document that is accepted."""
    schema = Schema("thing", 1)
    data = schema.pack(Example("a", 3))
    assert schema.unpack(data + b"rest of a longer one", Example) == Example("a", 3)
    for at in range(len(data) - 1):
        with pytest.raises(DocumentError):
            schema.unpack(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :], Example)


def test_older_documents_are_upgraded_and_newer_ones_rejected() -> None:
    """Guards against a skipped upgrade, and against documents of newer versions that are accepted."""
    old = Schema("thing", 1).pack(Example("a"))
    steps = {1: lambda body: body | {"size": 1}, 2: lambda body: body | {"size": body["size"] + 10}}
    assert Schema("thing", 3, steps).unpack(old, Example) == Example("a", 11)
    newer = "version must be at most 1, got 3, which a newer version of the program wrote"
    with pytest.raises(DocumentError, match=newer) as caught:
        Schema("thing", 1).unpack(Schema("thing", 3, steps).pack(Example("a")), Example)
    assert caught.value.newer
    with pytest.raises(DocumentError, match="kind: must be 'other', got 'thing'"):
        Schema("other", 1).unpack(old, Example)
    with pytest.raises(ValueError, match="the upgrade from version 2 is missing"):
        Schema("thing", 3, {1: steps[1]})


def test_slots_are_checked_by_stream_and_sequence_number() -> None:
    """Guards against slots of another stream or position that are accepted.

    A damaged slot must not affect the others.
    """
    header, seed = SegmentHeader(1, 0, 8, b"n" * 16), checksum_seed(b"n" * 16)
    data = bytearray(8 * SLOT_BYTES)
    for number in (1, 2, 4):
        data[(number - 1) * SLOT_BYTES : number * SLOT_BYTES] = pack_slot(_payload(number), seed, number)
    data[SLOT_BYTES + 7] ^= 4  # damages the second slot
    # The fourth slot is copied to the position of the sixth.
    data[5 * SLOT_BYTES : 6 * SLOT_BYTES] = pack_slot(_payload(4), seed, 4)
    found = scan(bytes(data), header, 1)
    assert sorted(found.payloads) == [1, 4] and found.bad == [2, 6] and found.last == 6
    other = scan(bytes(data), SegmentHeader(1, 0, 8, b"m" * 16), 1)
    assert not other.payloads and other.bad == [1, 2, 4, 6]
    assert count_written_slots(bytes(data)) == 6 and count_written_slots(bytes(SLOT_BYTES)) == 0


def test_invalid_segment_header_is_rejected() -> None:
    """Guards against damaged, truncated or foreign files that are read as segments."""
    header = SegmentHeader(7, 3, 4, b"x" * 16)
    data = pack_header(header) + bytes(4 * SLOT_BYTES)
    assert unpack_header(data) == header and header.first == 13 and slot_offset(header, 13) == HEADER_BYTES
    with pytest.raises(SegmentError, match="checksum"):
        unpack_header(data[:9] + b"\xff" + data[10:])
    truncated = r"declares 4 slots of 44 bytes \(must be 44\), 224 bytes in all; the file has 223"
    with pytest.raises(SegmentError, match=truncated):
        unpack_header(data[:-1])
    with pytest.raises(SegmentError, match="not a segment"):
        unpack_header(bytes(100))


def _journal(slots: int) -> tuple[Journal, VirtualFiles]:
    files, header = VirtualFiles(Disk(random.Random(1))), SegmentHeader(1, 0, slots, b"n" * 16)
    area = perform(files, Create(header))
    assert area is not None and not isinstance(area, Scan | FolderContents)
    return Journal(header, area), files


def test_pending_records_never_exceed_one_segment() -> None:
    """Guards against an unlimited number of uncommitted records, and against segments that stay open."""
    journal, files = _journal(4)
    assert [journal.append(_payload(n)) for n in range(6)] == [True] * 4 + [False] * 2
    spare = perform(files, Create(journal.header(1)))
    assert spare is not None and not isinstance(spare, Scan | FolderContents)
    assert journal.needed_segment() == journal.header(1)
    journal.add_segment(spare)
    assert not journal.append(_payload(9)), "four records are not committed yet"
    commit = journal.next_commit()
    assert commit is not None and commit.last_slot == 4
    assert journal.commit_done(commit) == [] and journal.committed == 4 and not journal.pending
    assert journal.append(_payload(5)) and journal.index == 1 and journal.needed_segment() is None
    commit = journal.next_commit()
    assert commit is not None and len(journal.commit_done(commit)) == 1, "the full segment can be closed"


def test_marks_state_the_committed_part_of_the_stream() -> None:
    """Guards against missing marks, without which damage can't be distinguished from a torn write."""
    journal, files = _journal(4 * MARK_EVERY)
    for number in range(2 * MARK_EVERY):
        assert journal.append(_payload(number))
        commit = journal.next_commit()
        assert commit is not None
        journal.commit_done(commit)
    found = perform(files, Read(journal.header(0), 1, 4 * MARK_EVERY))
    assert isinstance(found, Scan)
    assert len(found.payloads) == 2 * MARK_EVERY and found.last == journal.next - 1 > 2 * MARK_EVERY
    assert MARK_EVERY <= found.marked < found.last


def test_real_folder_stores_files_and_has_one_owner(tmp_path: Path) -> None:
    """Guards against lost files, leftovers of unfinished replacements, and two owners of one folder."""
    files = Directory(tmp_path / "use")
    with pytest.raises(OSError) as caught:
        Directory(tmp_path / "use")
    assert caught.value.errno == errno.EWOULDBLOCK
    header = SegmentHeader(1, 0, 4, os.urandom(16))
    area = perform(files, Create(header))
    assert area is not None and not isinstance(area, Scan | FolderContents)
    area.write(slot_offset(header, 1), pack_slot(_payload(1), checksum_seed(header.nonce), 1))
    area.sync()
    found = perform(files, InspectFolder(("a", "b"), 4096))
    assert (
        isinstance(found, FolderContents)
        and found.segments == {(1, 0): (header, 1)}
        and len(found.areas) == 2
    )
    perform(files, Save(found.areas[0], b"one\n"))
    perform(files, Replace("sum", b"two"))
    (tmp_path / "use" / "left.new").write_bytes(b"half")
    area.close()
    files.close()
    again = Directory(tmp_path / "use")
    assert again.load("sum") == b"two" and again.load("none") is None
    assert again.names() == ["a", "b", "sum", segment_name(1, 0)]
    read = perform(Directory(tmp_path / "use", view=True), Read(header, 1, 4))
    assert isinstance(read, Scan) and read.payloads == {1: _payload(1)}
    again.close()


def test_segment_names_are_parsed_and_other_names_ignored() -> None:
    """Guards against other files in the folder that are taken for segments."""
    assert parse_segment_name(segment_name(12, 3)) == (12, 3)
    others = "control-a", "use-1.log", "use-x-y.log", "sum-1-2.json"
    assert [parse_segment_name(name) for name in others] == [None] * 4


def test_full_disk_fails_when_a_file_is_created(tmp_path: Path) -> None:
    """Guards against a full disk that fails only when a mapped file is written; no file may be left."""
    files = Directory(tmp_path)
    with pytest.raises(OSError) as caught:
        files.create("huge", 1 << 60)
    assert caught.value.errno in (errno.ENOSPC, errno.EFBIG) and files.names() == []
    files.close()
