"""One cell at one of its seeds: the member that votes there, and what the leader has heard of it.

May know: the cell's entry, its member. May not know: the directory, other cells.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from ..membership.identifiers import NO_VIEW, Epoch, MemberId, ViewNumber
from ..membership.member import Member
from .terms import SECOND, Cell, CellReport, Noted, Placement

SPREAD = 1 * SECOND  # ns over which a new leader is told of all cells: not thousands of datagrams at once
RESEND = 1 * SECOND  # ns after which a report that nobody noted is sent again
FRESHEN = 10 * SECOND  # ns after which the coordinator reports though nothing has changed
FRESHEN_OTHERS = 30 * SECOND  # and the other seeds
PAGE = 700  # bytes of members in one report, about: with the entry it fits into one datagram
EACH = 14  # bytes of a member beside its name
MOVES_MOST = 256  # gateways under way to other cells that are remembered


@dataclass(slots=True)
class Seeding:
    """`epoch`: of the leader that is reported to; `noted`: what that one has of it; `moves`: gateways that
    were told to go elsewhere."""

    cell: Cell
    member: Member
    epoch: Epoch | None = None
    noted: tuple[Epoch, ViewNumber, ViewNumber] | None = None
    due_at: int = 0
    fresh_at: int = 0
    moves: dict[str, Placement] = field(default_factory=dict)

    def gateways(self, control: frozenset[str]) -> tuple[MemberId, ...]:
        """Of the view that is held; `control`: names that are no gateways'."""
        view = self.member.view
        return tuple(who for who in view.members if who[0] not in control) if view is not None else ()

    def reports(
        self, now: int, epoch: Epoch, control: frozenset[str], rng: random.Random
    ) -> list[CellReport]:
        """What the leader of this epoch is to hear now."""
        if epoch != self.epoch:
            self.due_at = self.fresh_at = now + (int(SPREAD * rng.random()) if self.epoch is not None else 0)
            self.epoch = epoch
        view, leads = self.member.view_number(), self.member.is_coordinator(now)
        known = self.noted
        told = (
            known is not None and known[:2] == (epoch, self.cell.number) and (known[2] == view or not leads)
        )
        if now < (self.fresh_at if told else self.due_at):
            return []
        self.due_at = now + int(RESEND * rng.uniform(0.8, 1.2))
        self.fresh_at = now + int((FRESHEN if leads else FRESHEN_OTHERS) * rng.uniform(0.8, 1.2))
        pages = _pages(self.gateways(control))
        return [CellReport(self.cell, view, members, page, len(pages)) for page, members in enumerate(pages)]

    def heard(self, epoch: Epoch, noted: Noted) -> None:
        """The leader has noted what was reported."""
        self.noted = epoch, noted.number, noted.view

    def moved(self, gateway: str, placement: Placement) -> bool:
        """Whether this word is the newest on where the gateway is to go."""
        before = self.moves.get(gateway)
        if before is not None and before.number > placement.number:
            return False
        if len(self.moves) >= MOVES_MOST:
            del self.moves[next(iter(self.moves))]
        self.moves[gateway] = placement
        return True

    @property
    def known_view(self) -> bool:
        return self.member.view_number() != NO_VIEW


def _pages(members: tuple[MemberId, ...]) -> list[tuple[MemberId, ...]]:
    """At least one, be it empty."""
    pages: list[list[MemberId]] = [[]]
    size = 0
    for who in members:
        each = len(who[0].encode()) + EACH
        if pages[-1] and size + each > PAGE:
            pages.append([])
            size = 0
        pages[-1].append(who)
        size += each
    return [tuple(page) for page in pages]
