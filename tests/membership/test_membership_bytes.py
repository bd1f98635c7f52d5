"""Tests the wire format of membership byte for byte, as gateways of other releases send and read it."""

from __future__ import annotations

import msgspec
import pytest

from trackspread.membership.event_log import EventLine
from trackspread.membership.messages import (
    Ack,
    ForgetRequest,
    ForgetResponse,
    GossipUpdate,
    Leader,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    MemberMessage,
    MessageBody,
    Nack,
    PeerData,
    Ping,
    PingRequest,
    SlownessReport,
    TableSnapshot,
    View,
    ViewAnnouncement,
    Vote,
)
from trackspread.membership.report import FleetReport, MemberReport
from trackspread.membership.wire import Keys, Wire

VIEW = View((5, 1, 3), (5, 1, 2), (("a", 1), ("b", 2)))
UPDATE = GossipUpdate("c", 3, 4, 1, "10.0.0.3", 7003, "1", True)
LEADER = Leader((5, 1), ("a", 1), "10.0.0.1", 7001)
MESSAGE = MemberMessage("f", "a", 1, Ping(3, ("b", 2)), 7, (UPDATE,), LEADER)


@pytest.mark.parametrize(
    "body, data",
    [
        (Ping(3, ("b", 2)), "93a450696e670392a16202"),
        (Ack(4, (5, 1)), "93a341636b04920501"),
        (Nack(6), "92a44e61636b06"),
        (PingRequest(7, ("b", 2), "10.0.0.1", 7000), "95a448656c700792a16202a831302e302e302e31cd1b58"),
        (Vote(1, "bid", 8, 2, -1), "96a4566f746501a36269640802ff"),
        (
            LeaseRequest(9, (5, 1), 3, b"\x01", (5, 1, 2), (1, 4), True),
            "98a552656e65770992050103c4010193050102920104c3",
        ),
        (
            LeaseGrant(9, (5, 1), 4, b"\x03", (5, 1, 2), 2_000_000_000),
            "97a54772616e740992050104c4010393050102ce77359400",
        ),
        (LeaseRelease((5, 1)), "92a752656c65617365920501"),
        (ViewAnnouncement((5, 1, 3), VIEW), "93a54672657368930501039393050103930501029292a1610192a16202"),
        (SlownessReport(("b", 2), True), "93a65265706f727492a16202c3"),
        (PeerData(b"xy", b"\x07"), "93a5576f726473c4027879c40107"),
        (ForgetRequest("b"), "92a6466f72676574a162"),
        (ForgetResponse("b", False, 17), "94a9466f72676f7474656ea162c211"),
    ],
    ids=lambda value: type(value).__name__ if isinstance(value, msgspec.Struct) else "",
)
def test_message_bodies_keep_their_bytes(body: MessageBody, data: str) -> None:
    assert msgspec.msgpack.encode(body).hex() == data
    assert msgspec.msgpack.decode(bytes.fromhex(data), type=MessageBody) == body


def test_messages_and_tables_keep_their_bytes() -> None:
    """The bytes are fixed both with a key and without one."""
    keyed, unkeyed = Wire("f", Keys(b"k" * 16), 8), Wire("f", Keys(), 8)
    message = (
        "747301baa252a701dc5849a956748e12e5971a97a166a1610193a450696e670392a16202079198a163030401a8"
        "31302e302e302e33cd1b5ba131c39492050192a16101a831302e302e302e31cd1b59"
    )
    assert keyed.pack(MESSAGE).hex() == message
    assert keyed.unpack(bytes.fromhex(message)) == MESSAGE
    without_key = (
        "747301002d77ee636028a7a9d20f5d69cf922d97a166a1610193a450696e670392a16202079198a163030401a8"
        "31302e302e302e33cd1b5ba131c39492050192a16101a831302e302e302e31cd1b59"
    )
    assert unkeyed.pack(MESSAGE).hex() == without_key
    assert unkeyed.unpack(bytes.fromhex(without_key)) == MESSAGE
    snapshot = TableSnapshot("f", "a", 1, (UPDATE,), VIEW, LEADER)
    table = (
        "000000557473011df95488f40ff706265dcb369c603b4696a166a161019198a163030401a831302e302e302e33"
        "cd1b5ba131c39393050103930501029292a1610192a162029492050192a16101a831302e302e302e31cd1b59"
    )
    assert keyed.pack_table(snapshot).hex() == table
    assert keyed.unpack_table(bytes.fromhex(table)[4:]) == snapshot


def test_event_log_lines_keep_their_keys() -> None:
    line = EventLine(1, "a", 2, "view", {"number": (5, 1, 3)})
    assert (
        msgspec.json.encode(line) == b'{"at":1,"name":"a","born":2,"kind":"view","about":{"number":[5,1,3]}}'
    )


def test_fleet_report_keeps_its_json_keys() -> None:
    member = MemberReport("b", "ALIVE", 2, 3, "1", "10.0.0.2:7002", 1.5, True)
    report = FleetReport("f", "a", "settled", None, 2, 0.5, "a", True, 0, (member,), ("c",), {"sent": 1}, {})
    assert msgspec.json.encode(report) == (
        b'{"fleet":"f","name":"a","standing":"settled","view":null,"members":2,"part":0.5,"leader":"a",'
        b'"leads":true,"health":0,"seen":[{"name":"b","state":"ALIVE","born":2,"life":3,"version":"1",'
        b'"address":"10.0.0.2:7002","since_s":1.5,"in_view":true}],"differ":["c"],"counts":{"sent":1},'
        b'"dropped":{},"cell":"","answered_s":null}'
    )
