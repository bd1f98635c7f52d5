"""Tests messages of gateways and control machines byte for byte, as other releases send and read them."""

from __future__ import annotations

import msgspec
import pytest

from trackspread.cells.messages import (
    Cell,
    CellReport,
    CellRow,
    CellsMessage,
    DirectoryPage,
    DirectoryRequest,
    ForwardedPlacement,
    ForwardedRequest,
    MessageBody,
    MoveGateways,
    Placement,
    PlacementNotice,
    PlacementRequest,
    ReportReceipt,
    RetireCell,
    SeedCell,
)
from trackspread.cells.wire import CellsWire
from trackspread.membership.wire import Keys

CELL = Cell("n", "r", "z", (5, 1, 2), (("10.0.0.1", 7500),), True)
PLACEMENT = Placement((5, 1, 3), CELL)
REQUEST = PlacementRequest("r", "z", ("10.1.0.1", 7000), PLACEMENT)


@pytest.mark.parametrize(
    "body, data",
    [
        (
            REQUEST,
            "95a64c6f63617465a172a17a92a831302e312e302e31cd1b58929305010396a16ea172a17a930501029192a831"
            "302e302e302e31cd1d4cc3",
        ),
        (
            PlacementNotice(("g", 1), PLACEMENT),
            "93a74c6f636174656492a16701929305010396a16ea172a17a930501029192a831302e302e302e31cd1d4cc3",
        ),
        (
            ForwardedRequest(("g", 1), REQUEST),
            "93a9466f7277617264656492a1670195a64c6f63617465a172a17a92a831302e312e302e31cd1b589293050103"
            "96a16ea172a17a930501029192a831302e302e302e31cd1d4cc3",
        ),
        (
            ForwardedPlacement(("g", 1), ("10.1.0.1", 7000), PLACEMENT),
            "94a6506c6163656492a1670192a831302e312e302e31cd1b58929305010396a16ea172a17a930501029192a831"
            "302e302e302e31cd1d4cc3",
        ),
        (SeedCell(CELL), "92a45365656496a16ea172a17a930501029192a831302e302e302e31cd1d4cc3"),
        (RetireCell("n", (5, 1, 4)), "93a6526574697265a16e93050104"),
        (
            MoveGateways("n", ("g", "h"), PLACEMENT),
            "94a44d6f7665a16e92a167a168929305010396a16ea172a17a930501029192a831302e302e302e31cd1d4cc3",
        ),
        (
            CellReport(CELL, (5, 1, 2), (("g", 1),), 1, 2),
            "96aa43656c6c5265706f727496a16ea172a17a930501029192a831302e302e302e31cd1d4cc3930501029192a1"
            "67010102",
        ),
        (ReportReceipt("n", (5, 1, 2), (5, 1, 3)), "94a54e6f746564a16e9305010293050103"),
        (DirectoryRequest(2), "92a8446573637269626502"),
        (
            DirectoryPage(("10.0.0.1", 7500), 1, 2, 3, (CellRow("n", 4, True),)),
            "96a944657363726962656492a831302e302e302e31cd1d4c0102039193a16e04c3",
        ),
    ],
    ids=lambda value: type(value).__name__ if isinstance(value, msgspec.Struct) else "",
)
def test_message_bodies_keep_their_bytes(body: MessageBody, data: str) -> None:
    assert msgspec.msgpack.encode(body).hex() == data
    assert msgspec.msgpack.decode(bytes.fromhex(data), type=MessageBody) == body


def test_datagram_keeps_its_bytes() -> None:
    wire = CellsWire("f", Keys(b"k" * 16), 8)
    message = CellsMessage("f", "c", 1, DirectoryRequest(2), (5, 1))
    data = "7463017ed47a5be746097074ac98a13bcdb36f95a166a1630192a8446573637269626502920501"
    assert wire.pack_message(message).hex() == data
    assert wire.read(bytes.fromhex(data)) == message
