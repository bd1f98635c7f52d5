"""Tests the literal bytes of every message between gateways, as commit 5f04399 wrote them.

A fleet runs two versions at once during an upgrade, so the current code must write exactly these bytes and
decode them to the same messages. The functions at the top build one message of each kind; when a type or a
field is renamed, only these functions change. Bodies are named by their tag on the wire.
"""

from __future__ import annotations

import msgspec
import pytest

from trackspread.cells import messages as cells
from trackspread.cells.wire import CellsWire
from trackspread.counter.calls import Call
from trackspread.counter.claims import (
    Claim,
    Heartbeat,
    pack_claim,
    pack_heartbeat,
    unpack_claim,
    unpack_heartbeat,
)
from trackspread.counter.commands import commands_for, parse_reply
from trackspread.decide.peer_messages import (
    QuotaMessage,
    QuotaMessageKind,
    pack_quota_message,
    pack_usage_totals,
    unpack_quota_message,
    unpack_usage_totals,
)
from trackspread.distribution import messages as configuration
from trackspread.distribution.versions import Cursor, Entry, Version
from trackspread.distribution.wire import Wire as ConfigurationWire
from trackspread.handover import wire as handover_wire
from trackspread.membership import messages as membership
from trackspread.membership.wire import Keys
from trackspread.membership.wire import Wire as MembershipWire
from trackspread.node.handover_state import Progress

KEYS = Keys(b"a fleet's key")
WHO = ("n1", 1_790_000_000_123)
OTHER = ("n2", 1_790_000_000_456)
ADDRESS = ("10.0.0.7", 7400)
EPOCH = (3, 1)
NUMBER = (3, 1, 5)
PARENT = (3, 1, 4)
SLOTS = bytes([0, 255]) + bytes(126)


def tag(body: msgspec.Struct) -> str:
    """Returns the name of a body's kind on the wire."""
    return str(body.__struct_config__.tag)


def quota_messages() -> dict[str, QuotaMessage]:
    """Returns a message of each kind, and one that names the gateways that receive the tenant's requests."""
    plain = {
        kind.name: QuotaMessage(kind, 0xFEDCBA9876543210, 2, 12.25, 77, 305, 40_001, in_flight=kind + 1)
        for kind in QuotaMessageKind
    }
    with_gateways = QuotaMessage(
        QuotaMessageKind.REQUEST, 9, 1, 0.75, 4_000_000_000, 65_535, 7, 6, 3, 4.5, 8, 31
    )
    return plain | {"REQUEST with the customer's gateways": with_gateways}


def member_messages() -> dict[str, membership.MemberMessage]:
    """Returns a message for each body, and one with all optional fields."""
    view = membership.View(NUMBER, PARENT, (WHO, OTHER))
    bodies: list[membership.MessageBody] = [
        membership.Ping(7, OTHER),
        membership.Ack(7, EPOCH),
        membership.Nack(8),
        membership.PingRequest(9, OTHER, *ADDRESS),
        membership.Vote(0, "bid", 4, 1, 2),
        membership.LeaseRequest(123_456_789, EPOCH, 6, SLOTS, NUMBER, (1, 3), True),
        membership.LeaseGrant(123_456_789, EPOCH, 7, SLOTS, NUMBER, 2_000_000_000),
        membership.LeaseRelease(EPOCH),
        membership.ViewAnnouncement(NUMBER, view),
        membership.SlownessReport(OTHER, True),
        membership.PeerData(b"to another gateway", SLOTS),
        membership.ForgetRequest("n9"),
        membership.ForgetResponse("n9", False, 341),
    ]
    made = {tag(body): membership.MemberMessage("fleet", *WHO, body, 99) for body in bodies}
    updates = (
        membership.GossipUpdate(*OTHER, 2, 1, *ADDRESS, "1.2", True),
        membership.GossipUpdate("n3", 5, 0, 3, "10.0.0.8", 7401),
    )
    leader = membership.Leader(EPOCH, OTHER, *ADDRESS)
    full = membership.MemberMessage("fleet", *WHO, membership.Ack(1), 1 << 63, updates, leader)
    return made | {"with updates and leader": full}


def member_table() -> membership.TableSnapshot:
    """Returns a snapshot of a member table with one member."""
    update = membership.GossipUpdate(*OTHER, 2, 1, *ADDRESS, "1.2", True)
    view = membership.View(NUMBER, PARENT, (WHO, OTHER))
    return membership.TableSnapshot("fleet", *WHO, (update,), view, membership.Leader(EPOCH, OTHER, *ADDRESS))


def cell_messages() -> dict[str, cells.CellsMessage]:
    """Returns a message for each body, and one that a leader sends."""
    cell = cells.Cell("c-1", "eu", "a", NUMBER, (ADDRESS, ("10.0.0.8", 7400)), True)
    placement = cells.Placement(NUMBER, cell)
    locate = cells.PlacementRequest("eu", "a", ADDRESS, placement)
    bodies: list[cells.MessageBody] = [
        locate,
        cells.PlacementNotice(WHO, placement),
        cells.ForwardedRequest(WHO, locate),
        cells.ForwardedPlacement(WHO, ADDRESS, placement),
        cells.SeedCell(cell),
        cells.RetireCell("c-1", NUMBER),
        cells.MoveGateways("c-1", ("n1", "n2"), placement),
        cells.CellReport(cell, PARENT, (WHO, OTHER), 1, 2),
        cells.ReportReceipt("c-1", NUMBER, PARENT),
        cells.DirectoryRequest(2),
        cells.DirectoryPage(ADDRESS, 0, 1, 5, (cells.CellRow("c-1", 17, False),)),
    ]
    made = {tag(body): cells.CellsMessage("fleet", *WHO, body) for body in bodies}
    return made | {"of a leader": cells.CellsMessage("fleet", *WHO, cells.SeedCell(cell), EPOCH)}


def configuration_messages() -> dict[str, configuration.Message]:
    """Returns a message for each body."""
    first = Version(2, (3, 1), 10)
    last = Version(2, (4, 0), 12)
    entries = (
        Entry(first, "billing", "route", b"\x00value"),
        Entry(last, "billing", "other", None),
    )
    bodies: list[configuration.MessageBody] = [
        configuration.Prepare(EPOCH, 5, True),
        configuration.Promise(EPOCH, 5, True, first, last),
        configuration.StaleEpoch((4, 0)),
        configuration.ReadTail(EPOCH, first),
        configuration.TailEntries(EPOCH, first, entries, last),
        configuration.Append(EPOCH, first, entries, first, last, 120),
        configuration.Accepted(EPOCH, False, True, last),
        configuration.LogCompacted(EPOCH, first),
        configuration.Recover(),
        configuration.ReplicaState(1_790_000_000_123, EPOCH, True, last),
        configuration.Subscribe(0xABCDEF, 0, 2, ("billing", "search")),
        configuration.Poll(6, first, 0xABCDEF, Cursor("billing", "route")),
        configuration.Delta(6, last, 40, entries, True),
        configuration.SnapshotPiece(6, 1, 3, last, entries, False),
        configuration.NeedSnapshot(6),
        configuration.NeedSubscription(6),
        configuration.Rejected(6, 250),
        configuration.Put(1, "billing", "route", b"value"),
        configuration.Committed(1, last),
        configuration.NotLeader(1, 2),
        configuration.BeginHistory(1),
        configuration.Inspect(1, "billing", "route"),
        configuration.Inspected(1, "follower", EPOCH, first, last, 3, entries[0]),
        configuration.TooManyKeys(1, 262_144),
    ]
    return {tag(body): configuration.Message("fleet", 1, WHO[1], body) for body in bodies}


def handover_progress() -> dict[str, Progress]:
    """Returns the progress of an attempt or a request, one of each kind."""
    return {
        "sent": Progress("sent", 5, 1, 2, 0, 0, (), "charge", "full", 7, 2.5),
        "ended": Progress("ended", 5, 1, 2, 3, 4, (0.5, 1.0)),
        "closed": Progress("closed", 5),
    }


def handover_packets() -> dict[str, bytes]:
    """Returns a packet of every kind."""
    bodies = {
        handover_wire.Kind.HELLO: b"n0",
        handover_wire.Kind.STATE_REQUEST: b"",
        handover_wire.Kind.TAKEN: b"",
        handover_wire.Kind.CLIENT: b"*1\r\n$4\r\nPI",
        handover_wire.Kind.CLIENT_INPUT: b"*5\r\n$9\r\nCALL",
    }
    made = {kind.name: handover_wire.pack(kind, body) for kind, body in bodies.items()}
    limit = handover_wire.encode(handover_wire.MAX_CLIENT_INPUT_BYTES)
    made["STATE_REQUEST with a limit"] = handover_wire.pack(handover_wire.Kind.STATE_REQUEST, limit)
    (made["STATE_PIECE"],) = handover_wire.state_packets(b"what is carried over")
    made["STATE_END"] = handover_wire.state_end_packet(b"what is carried over")
    progress = handover_progress()
    return made | {
        f"PROGRESS {what}": handover_wire.pack(handover_wire.Kind.PROGRESS, handover_wire.encode(each))
        for what, each in progress.items()
    }


def counter_calls() -> dict[str, Call]:
    """Returns calls for a partition's heartbeats and for a tenant's claims, with a value and without."""
    return {
        "heartbeat": Call(1, 3, None, pack_heartbeat(heartbeat())),
        "heartbeats read": Call(2, 3, None, None),
        "claim": Call(3, 3, 0xABCDEF, pack_claim(claim())),
        "claims read": Call(4, 3, 0xABCDEF, None),
    }


def claim() -> Claim:
    """Returns a claim with a different value in every field."""
    return Claim(1_790_000_000_123, 9, 0.25, 12.5, 1_000.125, 3.5, 1_790_000_000_456)


def heartbeat() -> Heartbeat:
    """Returns a heartbeat with a different value in every field."""
    return Heartbeat(1_790_000_000_123, 9, 1_790_000_000_456)


# The literal bytes, in hexadecimal.

QUOTA: dict[str, str] = {
    "IN_TRANSIT": ("081032547698badcfe0231004d0000003101419c"),
    "REQUEST": ("111032547698badcfe0231004d0000003101419c"),
    "SPENT": ("1a1032547698badcfe0231004d0000003101419c"),
    "GRANT": ("231032547698badcfe0231004d0000003101419c"),
    "DENY": ("2c1032547698badcfe0231004d0000003101419c"),
    "TRANSFER_REQUEST": ("351032547698badcfe0231004d0000003101419c"),
    "TRANSFER": ("3e1032547698badcfe0231004d0000003101419c"),
    "RELEASED": ("471032547698badcfe0231004d0000003101419c"),
    "REQUEST with the customer's gateways": ("f9090000000000000001030000286beeffff070006000300120008000000"),
}
TOTALS = "010231011032547698badcfe419c030900000000000000ffffff"
MEMBER: dict[str, str] = {
    "Ping": (
        "747301a4e8708d144afc3ebf6da8c4a342535497a5666c656574a26e31cf000001a0c4506c7b93a450696e670792a26e"
        "32cf000001a0c4506dc86390c0"
    ),
    "Ack": (
        "7473016ed955327c8cc52d4641e6a280fa649797a5666c656574a26e31cf000001a0c4506c7b93a341636b079203016390c0"
    ),
    "Nack": (
        "7473010ef602fe35655de8644b5def8241fa2b97a5666c656574a26e31cf000001a0c4506c7b92a44e61636b086390c0"
    ),
    "Help": (
        "74730124fddb772338cd7869d048e99db2787b97a5666c656574a26e31cf000001a0c4506c7b95a448656c700992a26e"
        "32cf000001a0c4506dc8a831302e302e302e37cd1ce86390c0"
    ),
    "Vote": (
        "7473015c8e102a600773869f8e66e3dfcdb53297a5666c656574a26e31cf000001a0c4506c7b96a4566f746500a36269"
        "640401026390c0"
    ),
    "Renew": (
        "747301d082ebdee9fcd8a78d3616596d2b490b97a5666c656574a26e31cf000001a0c4506c7b98a552656e6577ce075b"
        "cd1592030106c48000ff0000000000000000000000000000000000000000000000000000000000000000000000000000"
        "000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000"
        "0000000000000000000000000000000000000000000000000000000000000000000000000000000093030105920103c3"
        "6390c0"
    ),
    "Grant": (
        "7473010cef4b459cc8e83403b80f6e3732a9ff97a5666c656574a26e31cf000001a0c4506c7b97a54772616e74ce075b"
        "cd1592030107c48000ff0000000000000000000000000000000000000000000000000000000000000000000000000000"
        "000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000"
        "0000000000000000000000000000000000000000000000000000000000000000000000000000000093030105ce773594"
        "006390c0"
    ),
    "Release": (
        "7473012222e083632bc8c5b4b41a0546d8fc0d97a5666c656574a26e31cf000001a0c4506c7b92a752656c6561736592"
        "03016390c0"
    ),
    "Fresh": (
        "747301a515afe779e81f421480aa06abf3927497a5666c656574a26e31cf000001a0c4506c7b93a54672657368930301"
        "059393030105930301049292a26e31cf000001a0c4506c7b92a26e32cf000001a0c4506dc86390c0"
    ),
    "Report": (
        "747301bb4ab2b2e63858962ab41982667b379f97a5666c656574a26e31cf000001a0c4506c7b93a65265706f727492a2"
        "6e32cf000001a0c4506dc8c36390c0"
    ),
    "Words": (
        "747301db98818927d70a49faf008a568bfc5b397a5666c656574a26e31cf000001a0c4506c7b93a5576f726473c41274"
        "6f20616e6f746865722067617465776179c48000ff000000000000000000000000000000000000000000000000000000"
        "000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000"
        "000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000"
        "0000006390c0"
    ),
    "Forget": (
        "747301e9bf3bfe62d02ad6772cb70e00f939e297a5666c656574a26e31cf000001a0c4506c7b92a6466f72676574a26e"
        "396390c0"
    ),
    "Forgotten": (
        "7473016f2d40a727eaf6d0c369a40f52c34ac697a5666c656574a26e31cf000001a0c4506c7b94a9466f72676f747465"
        "6ea26e39c2cd01556390c0"
    ),
    "with updates and leader": (
        "74730186463849cec44ca1bccfefb962c5f38697a5666c656574a26e31cf000001a0c4506c7b93a341636b01c0cf8000"
        "0000000000009298a26e32cf000001a0c4506dc80201a831302e302e302e37cd1ce8a3312e32c398a26e33050003a831"
        "302e302e302e38cd1ce9a0c29492030192a26e32cf000001a0c4506dc8a831302e302e302e37cd1ce8"
    ),
}
TABLE = (
    "000000887473010b8d0c04fc2bf2e039f11de959f412bd96a5666c656574a26e31cf000001a0c4506c7b9198a26e32cf"
    "000001a0c4506dc80201a831302e302e302e37cd1ce8a3312e32c39393030105930301049292a26e31cf000001a0c450"
    "6c7b92a26e32cf000001a0c4506dc89492030192a26e32cf000001a0c4506dc8a831302e302e302e37cd1ce8"
)
CELL: dict[str, str] = {
    "Locate": (
        "74630103e9141e668cd22fd06fb0f29b016aa095a5666c656574a26e31cf000001a0c4506c7b95a64c6f63617465a265"
        "75a16192a831302e302e302e37cd1ce8929303010596a3632d31a26575a161930301059292a831302e302e302e37cd1c"
        "e892a831302e302e302e38cd1ce8c3c0"
    ),
    "Located": (
        "74630165f4e5992107260b7e19ee9b81b07d8f95a5666c656574a26e31cf000001a0c4506c7b93a74c6f636174656492"
        "a26e31cf000001a0c4506c7b929303010596a3632d31a26575a161930301059292a831302e302e302e37cd1ce892a831"
        "302e302e302e38cd1ce8c3c0"
    ),
    "Forwarded": (
        "7463019a50c4612e48f97cfcd77913e2ceb0bb95a5666c656574a26e31cf000001a0c4506c7b93a9466f727761726465"
        "6492a26e31cf000001a0c4506c7b95a64c6f63617465a26575a16192a831302e302e302e37cd1ce8929303010596a363"
        "2d31a26575a161930301059292a831302e302e302e37cd1ce892a831302e302e302e38cd1ce8c3c0"
    ),
    "Placed": (
        "746301dea75bc85cb65f56911907b0cc75a7e795a5666c656574a26e31cf000001a0c4506c7b94a6506c6163656492a2"
        "6e31cf000001a0c4506c7b92a831302e302e302e37cd1ce8929303010596a3632d31a26575a161930301059292a83130"
        "2e302e302e37cd1ce892a831302e302e302e38cd1ce8c3c0"
    ),
    "Seed": (
        "74630196a8988e9d7850978fe6df0439098dd095a5666c656574a26e31cf000001a0c4506c7b92a45365656496a3632d"
        "31a26575a161930301059292a831302e302e302e37cd1ce892a831302e302e302e38cd1ce8c3c0"
    ),
    "Retire": (
        "746301ffe674764e997f0cddeabcc4d61947b895a5666c656574a26e31cf000001a0c4506c7b93a6526574697265a363"
        "2d3193030105c0"
    ),
    "Move": (
        "74630176ca536c0c94f7b237176b6fcdec259c95a5666c656574a26e31cf000001a0c4506c7b94a44d6f7665a3632d31"
        "92a26e31a26e32929303010596a3632d31a26575a161930301059292a831302e302e302e37cd1ce892a831302e302e30"
        "2e38cd1ce8c3c0"
    ),
    "CellReport": (
        "746301401fc5712650e73c51a9e7308ee976bf95a5666c656574a26e31cf000001a0c4506c7b96aa43656c6c5265706f"
        "727496a3632d31a26575a161930301059292a831302e302e302e37cd1ce892a831302e302e302e38cd1ce8c393030104"
        "9292a26e31cf000001a0c4506c7b92a26e32cf000001a0c4506dc80102c0"
    ),
    "Noted": (
        "7463015ce5d2f639e60e225a5c2961a7a5ea3695a5666c656574a26e31cf000001a0c4506c7b94a54e6f746564a3632d"
        "319303010593030104c0"
    ),
    "Describe": (
        "746301d286ada0ef4fcdcfa78825760831b87b95a5666c656574a26e31cf000001a0c4506c7b92a8446573637269626502c0"
    ),
    "Described": (
        "7463017fa9a3aee64438e5866f6352ce37644495a5666c656574a26e31cf000001a0c4506c7b96a94465736372696265"
        "6492a831302e302e302e37cd1ce80001059193a3632d3111c2c0"
    ),
    "of a leader": (
        "7463018adf13905757ac99d11a09faf1feee6895a5666c656574a26e31cf000001a0c4506c7b92a45365656496a3632d"
        "31a26575a161930301059292a831302e302e302e37cd1ce892a831302e302e302e38cd1ce8c3920301"
    ),
}
CONFIGURATION: dict[str, str] = {
    "Prepare": (
        "746401bb63a8e0788ea6f275c55b9575cb5ab694a5666c65657401cf000001a0c4506c7b94a75072657061726592030105c3"
    ),
    "Promise": (
        "7464018f36471a619ca1cecaf31b75edf93b1494a5666c65657401cf000001a0c4506c7b96a750726f6d697365920301"
        "05c393029203010a93029204000c"
    ),
    "Stale": ("7464015347292b409982cdbbb5de5e1e648ebb94a5666c65657401cf000001a0c4506c7b92a55374616c65920400"),
    "Tail": (
        "74640121c907ddbd3b58c1cdca2e48c579309194a5666c65657401cf000001a0c4506c7b93a45461696c920301930292"
        "03010a"
    ),
    "TailEntries": (
        "746401437b3c8068b65eb65b77fecc0d4ba2a994a5666c65657401cf000001a0c4506c7b95ab5461696c456e74726965"
        "7392030193029203010a929493029203010aa762696c6c696e67a5726f757465c4060076616c75659493029204000ca7"
        "62696c6c696e67a56f74686572c093029204000c"
    ),
    "Append": (
        "746401bce9abb76e4d45ca7b280481218eb0af94a5666c65657401cf000001a0c4506c7b97a6417070656e6492030193"
        "029203010a929493029203010aa762696c6c696e67a5726f757465c4060076616c75659493029204000ca762696c6c69"
        "6e67a56f74686572c093029203010a93029204000c78"
    ),
    "Accepted": (
        "746401ac26ccc74c548705ed10d236850f5d0f94a5666c65657401cf000001a0c4506c7b95a841636365707465649203"
        "01c2c393029204000c"
    ),
    "Behind": (
        "746401eed9412d9c59e7066ddfb9214b11b69594a5666c65657401cf000001a0c4506c7b93a6426568696e6492030193"
        "029203010a"
    ),
    "Recover": ("7464019c626eb091669351b7372c5bb11f362694a5666c65657401cf000001a0c4506c7b91a75265636f766572"),
    "Standing": (
        "7464016109339d8b0623b6de8499a7b7172cfd94a5666c65657401cf000001a0c4506c7b95a85374616e64696e67cf00"
        "0001a0c4506c7b920301c393029204000c"
    ),
    "Subscribe": (
        "7464019130fc83b9c5c055f554a70ed8c4fbcd94a5666c65657401cf000001a0c4506c7b95a9537562736372696265ce"
        "00abcdef000292a762696c6c696e67a6736561726368"
    ),
    "Poll": (
        "746401a01f5477fe5cd2d2a818e51c3bfc785294a5666c65657401cf000001a0c4506c7b95a4506f6c6c069302920301"
        "0ace00abcdef92a762696c6c696e67a5726f757465"
    ),
    "Delta": (
        "746401709218fd339b34246cba36a0b46a23da94a5666c65657401cf000001a0c4506c7b96a544656c74610693029204"
        "000c28929493029203010aa762696c6c696e67a5726f757465c4060076616c75659493029204000ca762696c6c696e67"
        "a56f74686572c0c3"
    ),
    "Piece": (
        "746401a984ad5d6f9f083a14a55257833ac98494a5666c65657401cf000001a0c4506c7b97a550696563650601039302"
        "9204000c929493029203010aa762696c6c696e67a5726f757465c4060076616c75659493029204000ca762696c6c696e"
        "67a56f74686572c0c2"
    ),
    "NeedSnapshot": (
        "7464018c9e5a157930d41eaefe007600678f0b94a5666c65657401cf000001a0c4506c7b92ac4e656564536e61707368"
        "6f7406"
    ),
    "NeedSubscription": (
        "746401f970bc6ddba65f862441e8a8cf1fda5194a5666c65657401cf000001a0c4506c7b92b04e656564537562736372"
        "697074696f6e06"
    ),
    "Refused": (
        "746401c68366f8d635d3645740486fb31bd85b94a5666c65657401cf000001a0c4506c7b93a75265667573656406ccfa"
    ),
    "Put": (
        "746401111a0a269c88bee6fa92c820cecc560394a5666c65657401cf000001a0c4506c7b95a350757401a762696c6c69"
        "6e67a5726f757465c40576616c7565"
    ),
    "Done": (
        "746401d800d74fd895659109d4048e21a8251994a5666c65657401cf000001a0c4506c7b93a4446f6e650193029204000c"
    ),
    "NotLeader": (
        "746401705a90912404f966a874465b833fd14194a5666c65657401cf000001a0c4506c7b93a94e6f744c65616465720102"
    ),
    "Begin": ("7464013f0bbd0cdb429bf766f03b2c3c29c03a94a5666c65657401cf000001a0c4506c7b92a5426567696e01"),
    "Show": (
        "746401246f6ad70c862c17dcec44b82066db1d94a5666c65657401cf000001a0c4506c7b94a453686f7701a762696c6c"
        "696e67a5726f757465"
    ),
    "Shown": (
        "746401ccd30c49746b6d08bf7ad2c55abe998694a5666c65657401cf000001a0c4506c7b98a553686f776e01a8666f6c"
        "6c6f77657292030193029203010a93029204000c039493029203010aa762696c6c696e67a5726f757465c4060076616c"
        "7565"
    ),
    "Full": (
        "746401cc09a9a6705b173f2c54f694d56db1cb94a5666c65657401cf000001a0c4506c7b93a446756c6c01ce00040000"
    ),
}
HANDOVER: dict[str, str] = {
    "HELLO": ("7473686f010100007a647e9c6e30"),
    "STATE_REQUEST": ("7473686f0102000000000000"),
    "STATE_REQUEST with a limit": ("7473686f01020000178fbbfcce00500000"),
    "TAKEN": ("7473686f0105000000000000"),
    "CLIENT": ("7473686f010600006cc5103f2a310d0a24340d0a5049"),
    "CLIENT_INPUT": ("7473686f01080000428988dd2a350d0a24390d0a43414c4c"),
    "STATE_PIECE": ("7473686f01030000210d1169776861742069732063617272696564206f766572"),
    "STATE_END": ("7473686f0104000081b154899214ce69110d21"),
    "PROGRESS sent": (
        "7473686f0107000094049bd28ba477686174a473656e74a77265717565737405a7617474656d707401a76261636b656e"
        "6402a76f7574636f6d6500a7656c617073656400a67265706f727490a3636c73a6636861726765a4706c616ea466756c"
        "6ca8637573746f6d657207a5756e697473cb4004000000000000"
    ),
    "PROGRESS ended": (
        "7473686f01070000f05e736c8ba477686174a5656e646564a77265717565737405a7617474656d707401a76261636b65"
        "6e6402a76f7574636f6d6503a7656c617073656404a67265706f727492cb3fe0000000000000cb3ff0000000000000a3"
        "636c73a0a4706c616ea0a8637573746f6d657200a5756e697473cb0000000000000000"
    ),
    "PROGRESS closed": (
        "7473686f01070000657378468ba477686174a6636c6f736564a77265717565737405a7617474656d707400a76261636b"
        "656e6400a76f7574636f6d6500a7656c617073656400a67265706f727490a3636c73a0a4706c616ea0a8637573746f6d"
        "657200a5756e697473cb0000000000000000"
    ),
}
COUNTER: dict[str, list[str]] = {
    "heartbeat": [
        ("485345544e582074733a7b74732e337d3a6265617473206964206120746f6b656e"),
        ("485345542074733a7b74732e337d3a6265617473203137207b6c50c4a00100000900000000000000c86d50c4a0010000"),
        ("48474554414c4c2074733a7b74732e337d3a6265617473"),
        ("504558504952452074733a7b74732e337d3a6265617473203630303030"),
        ("54494d45"),
    ],
    "heartbeats read": [
        ("485345544e582074733a7b74732e337d3a6265617473206964206120746f6b656e"),
        ("48474554414c4c2074733a7b74732e337d3a6265617473"),
        ("504558504952452074733a7b74732e337d3a6265617473203630303030"),
        ("54494d45"),
    ],
    "claim": [
        (
            "485345542074733a7b74732e337d3a6d3a616263646566203137207b6c50c4a001000009000000000000000000803e00"
            "0048410000000000418f4000006040c86d50c4a0010000"
        ),
        ("48474554414c4c2074733a7b74732e337d3a6d3a616263646566"),
        ("504558504952452074733a7b74732e337d3a6d3a616263646566203630303030"),
        ("54494d45"),
    ],
    "claims read": [
        ("48474554414c4c2074733a7b74732e337d3a6d3a616263646566"),
        ("504558504952452074733a7b74732e337d3a6d3a616263646566203630303030"),
        ("54494d45"),
    ],
}
CLAIM = "7b6c50c4a001000009000000000000000000803e000048410000000000418f4000006040c86d50c4a0010000"
HEARTBEAT = "7b6c50c4a00100000900000000000000c86d50c4a0010000"


@pytest.mark.parametrize("name", QUOTA)
def test_quota_messages_keep_their_bytes(name: str) -> None:
    message = quota_messages()[name]
    assert pack_quota_message(message).hex() == QUOTA[name]
    assert unpack_quota_message(bytes.fromhex(QUOTA[name])) == message


def test_usage_totals_keep_their_bytes() -> None:
    totals = [(0xFEDCBA9876543210, 40_001, 3), (9, 65_535, 255)]
    assert pack_usage_totals(513, 305, totals).hex() == TOTALS
    assert unpack_usage_totals(bytes.fromhex(TOTALS)) == (513, 305, totals)


@pytest.mark.parametrize("name", MEMBER)
def test_member_messages_keep_their_bytes(name: str) -> None:
    wire, message = MembershipWire("fleet", KEYS, 64), member_messages()[name]
    assert wire.pack(message).hex() == MEMBER[name]
    assert wire.unpack(bytes.fromhex(MEMBER[name])) == message


def test_member_table_keeps_its_bytes() -> None:
    wire, table = MembershipWire("fleet", KEYS, 64), member_table()
    assert wire.pack_table(table).hex() == TABLE
    assert wire.unpack_table(bytes.fromhex(TABLE)[4:]) == table


@pytest.mark.parametrize("name", CELL)
def test_cell_messages_keep_their_bytes(name: str) -> None:
    wire, message = CellsWire("fleet", KEYS, 64), cell_messages()[name]
    assert wire.pack_message(message).hex() == CELL[name]
    assert wire.read(bytes.fromhex(CELL[name])) == message


@pytest.mark.parametrize("name", CONFIGURATION)
def test_configuration_messages_keep_their_bytes(name: str) -> None:
    wire, message = ConfigurationWire("fleet", KEYS), configuration_messages()[name]
    assert wire.pack(message).hex() == CONFIGURATION[name]
    assert wire.unpack(bytes.fromhex(CONFIGURATION[name])) == message


@pytest.mark.parametrize("name", HANDOVER)
def test_handover_packets_keep_their_bytes(name: str) -> None:
    packet = handover_packets()[name]
    assert packet.hex() == HANDOVER[name]
    kind, body = handover_wire.unpack(bytes.fromhex(HANDOVER[name]))
    assert kind.name == name.partition(" ")[0]
    if kind is handover_wire.Kind.PROGRESS:
        assert handover_wire.decode(body, Progress) == handover_progress()[name.partition(" ")[2]]


@pytest.mark.parametrize("name", COUNTER)
def test_counter_commands_keep_their_bytes(name: str) -> None:
    made = commands_for(counter_calls()[name], "ts", 17, b"a token")
    assert [b" ".join(words).hex() for words in made] == COUNTER[name]


def test_counter_values_keep_their_bytes() -> None:
    assert pack_claim(claim()).hex() == CLAIM and unpack_claim(bytes.fromhex(CLAIM)) == claim()
    assert pack_heartbeat(heartbeat()).hex() == HEARTBEAT
    assert unpack_heartbeat(bytes.fromhex(HEARTBEAT)) == heartbeat()
    stored = [b"id", b"a token", b"17", bytes.fromhex(HEARTBEAT)]
    reply = parse_reply(counter_calls()["heartbeat"], [0, 1, stored, 1, [b"1790000000", b"456789"]])
    assert (reply.clock_ms, reply.token, reply.field_was_missing) == (1_790_000_000_456, b"a token", True)
    assert reply.fields == {17: bytes.fromhex(HEARTBEAT)}


def test_every_message_kind_has_literal_bytes() -> None:
    """Guards against a kind that is added later without its bytes in this file."""
    assert {name.partition(" ")[0] for name in QUOTA} == set(QuotaMessageKind.__members__)
    assert {name.partition(" ")[0] for name in HANDOVER} == set(handover_wire.Kind.__members__)
    assert [member_messages().keys(), cell_messages().keys()] == [MEMBER.keys(), CELL.keys()]
    assert configuration_messages().keys() == CONFIGURATION.keys()
    # The unions that the decoders use give the number of kinds. Each body above is a member of one of them.
    unions = (membership.MessageBody, cells.MessageBody, configuration.MessageBody)
    counts = [len(bodies.__args__) for bodies in unions]
    assert counts == [len(MEMBER) - 1, len(CELL) - 1, len(CONFIGURATION)]
