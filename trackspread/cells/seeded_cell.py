"""Holds one cell at one of its seeds: the member that votes in it, and the state of reports to the leader."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from ..membership.identifiers import NO_VIEW, SECOND, Epoch, MemberId, ViewNumber
from ..membership.member import Member
from .messages import Cell, CellReport, Placement, ReportReceipt

# Reports to a new leader are spread over this time, because thousands of them at once would be a burst.
FIRST_REPORT_SPREAD_NS = 1 * SECOND
RESEND_INTERVAL_NS = 1 * SECOND  # time between reports without a receipt
COORDINATOR_REFRESH_NS = 10 * SECOND  # time between the coordinator's reports while nothing changes
SEED_REFRESH_NS = 30 * SECOND  # time between the other seeds' reports while nothing changes
REPORT_JITTER = (0.8, 1.2)  # random factor of these intervals
MAX_PAGE_BYTES = 700  # approximate limit of the members in one report, which with the entry fits a datagram
MEMBER_OVERHEAD_BYTES = 14  # encoded size of a member in addition to its name
MAX_REMEMBERED_MOVES = 256  # limit of remembered gateways that are moving to other cells


class Receipt(NamedTuple):
    """Holds the numbers of the entry and the view that the leader has received last."""

    epoch: Epoch
    cell_number: ViewNumber
    view_number: ViewNumber


@dataclass(slots=True)
class SeededCell:
    """Holds one cell that this control machine seeds.

    `epoch` is that of the leader to which reports go; `moves` holds the placements of gateways that have to
    leave the cell.
    """

    cell: Cell
    member: Member
    epoch: Epoch | None = None
    receipt: Receipt | None = None
    resend_at_ns: int = 0
    refresh_at_ns: int = 0
    moves: dict[str, Placement] = field(default_factory=dict)

    def gateways(self, control_names: frozenset[str]) -> tuple[MemberId, ...]:
        """Returns the gateways of the newest view: all its members except those named in `control_names`."""
        view = self.member.view
        if view is None:
            return ()
        return tuple(member_id for member_id in view.members if member_id[0] not in control_names)

    def due_reports(
        self, now_ns: int, epoch: Epoch, control_names: frozenset[str], rng: random.Random
    ) -> list[CellReport]:
        """Returns the pages of the report that is due to the leader of this epoch, or none."""
        if epoch != self.epoch:
            delay_ns = int(FIRST_REPORT_SPREAD_NS * rng.random()) if self.epoch is not None else 0
            self.resend_at_ns = now_ns + delay_ns
            self.refresh_at_ns = now_ns + delay_ns
            self.epoch = epoch
        view_number = self.member.view_number()
        is_coordinator = self.member.is_coordinator(now_ns)
        is_known = self._is_known_to_leader(epoch, view_number, is_coordinator)
        if now_ns < (self.refresh_at_ns if is_known else self.resend_at_ns):
            return []
        refresh_ns = COORDINATOR_REFRESH_NS if is_coordinator else SEED_REFRESH_NS
        self.resend_at_ns = now_ns + int(RESEND_INTERVAL_NS * rng.uniform(*REPORT_JITTER))
        self.refresh_at_ns = now_ns + int(refresh_ns * rng.uniform(*REPORT_JITTER))
        pages = _pages(self.gateways(control_names))
        return [
            CellReport(self.cell, view_number, members, page, len(pages))
            for page, members in enumerate(pages)
        ]

    def record_receipt(self, epoch: Epoch, receipt: ReportReceipt) -> None:
        """Records that the leader has received a report."""
        self.receipt = Receipt(epoch, receipt.number, receipt.view_number)

    def record_move(self, gateway: str, placement: Placement) -> bool:
        """Records a placement; returns whether it is the newest for the gateway."""
        before = self.moves.get(gateway)
        if before is not None and before.number > placement.number:
            return False
        if len(self.moves) >= MAX_REMEMBERED_MOVES:
            del self.moves[next(iter(self.moves))]
        self.moves[gateway] = placement
        return True

    @property
    def has_view(self) -> bool:
        """Returns whether any view of the cell is known here."""
        return self.member.view_number() != NO_VIEW

    def _is_known_to_leader(self, epoch: Epoch, view_number: ViewNumber, is_coordinator: bool) -> bool:
        receipt = self.receipt
        if receipt is None or (receipt.epoch, receipt.cell_number) != (epoch, self.cell.number):
            return False
        return receipt.view_number == view_number or not is_coordinator


def _pages(members: tuple[MemberId, ...]) -> list[tuple[MemberId, ...]]:
    """Returns the members in pages of about `MAX_PAGE_BYTES`, and one empty page where there are none."""
    pages: list[list[MemberId]] = [[]]
    page_bytes = 0
    for member_id in members:
        member_bytes = len(member_id[0].encode()) + MEMBER_OVERHEAD_BYTES
        if pages[-1] and page_bytes + member_bytes > MAX_PAGE_BYTES:
            pages.append([])
            page_bytes = 0
        pages[-1].append(member_id)
        page_bytes += member_bytes
    return [tuple(page) for page in pages]
