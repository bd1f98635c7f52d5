"""Defines mutants of two-level membership, which the worlds must detect. Each breaks one rule of `cells/`."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any
from unittest.mock import patch

from msgspec import structs

from ....cells import directory, gateway
from ....cells.actions import CellLeft, CellsAction
from ....cells.controller import Controller
from ....cells.directory import CellEntry, Directory
from ....cells.directory_leader import DirectoryLeader
from ....cells.gateway import Gateway
from ....cells.messages import Cell, CellReport, CellsMessage, Placement, PlacementNotice, PlacementRequest
from ....cells.seeded_cell import SeededCell
from ....cells.topology import Zone
from ....membership.identifiers import SECOND, Address, Epoch, MemberId
from ....membership.lease_renewal import LeaseRenewal
from ....membership.messages import LeaseRequest
from ..patches import applied
from ..processes import InvariantViolated
from .worlds import WORLDS


def _every_notice_followed() -> list[Any]:
    """Follows the last received placement notice, even an older one or one for another process."""
    real = Gateway.receive_cells_message

    def receive(self: Gateway, now: int, message: CellsMessage, source: Address) -> list[CellsAction]:
        if isinstance(message.body, PlacementNotice):
            notice = PlacementNotice(self.member_id, message.body.placement)
            message = structs.replace(message, body=notice)
        return real(self, now, message, source)

    def mutant(self: Gateway, now: int, placement: Placement) -> None:
        if self.placement is None:
            self._join_cell(now, placement)
        elif placement.cell.name == self.placement.cell.name:
            self.placement = placement
        else:
            self._leave_cell(now)
            self._join_cell(now, placement)

    return [patch.object(Gateway, "_follow", mutant), patch.object(Gateway, "receive_cells_message", receive)]


def _never_moves() -> list[Any]:
    """Keeps a gateway in its first cell, whatever its later placements."""

    def mutant(self: Gateway, now: int, placement: Placement) -> None:
        if self.placement is None:
            self._join_cell(now, placement)

    return [patch.object(Gateway, "_follow", mutant)]


def _slots_kept() -> list[Any]:
    """Leaves a cell without a release of the slots, which the gateway uses until their lease expires."""

    def mutant(self: Gateway, now: int) -> None:
        if self.member is not None and self.placement is not None:
            self._created_at_ms = self.member.member_id[1]
            self._actions.append(CellLeft(self.placement))
            self.member = None

    return [patch.object(Gateway, "_leave_cell", mutant)]


def _joins_before_leaving() -> list[Any]:
    """Joins the new cell before the gateway leaves its present one."""

    def mutant(self: Gateway, now: int, placement: Placement) -> None:
        before, member = self.placement, self.member
        if before is not None and placement.cell.name == before.cell.name:
            self.placement = max(before, placement, key=lambda each: each.number)
        elif before is None or placement.number > before.number:
            self._join_cell(now, placement)
            if before is not None and member is not None:
                member.leave(now)
                self._actions.append(CellLeft(before))

    return [patch.object(Gateway, "_follow", mutant)]


def _leaves_without_control() -> list[Any]:
    """Leaves the cell when no control machine answers."""
    real = Gateway._request_placement

    def mutant(self: Gateway, now: int) -> None:
        if self._unanswered_requests > 2:
            self._leave_cell(now)
            self.placement = None
        real(self, now)

    return [patch.object(Gateway, "_request_placement", mutant)]


def _requests_without_backoff() -> list[Any]:
    """Repeats unanswered placement requests at the shortest interval."""
    return [patch.object(gateway, "MAX_BACKOFF_NS", gateway.MIN_BACKOFF_NS)]


def _refreshes_at_once() -> list[Any]:
    """Refreshes a placement at the shortest interval after each answer."""
    return [patch.object(gateway, "REFRESH_INTERVAL_NS", gateway.MIN_BACKOFF_NS)]


def _leads_after_lease() -> list[Any]:
    """Continues to lead after the leader's lease has expired."""
    real = Controller._lead

    def lead(self: Controller, now: int) -> None:
        if self.leader is None or self.control_member.is_coordinator(now):
            real(self, now)

    return [
        patch.object(Controller, "_lead", lead),
        patch.object(Controller, "is_leader", lambda self, now: self.leader is not None),
    ]


def _older_entry_accepted() -> list[Any]:
    """Accepts any entry for a cell, even an older one, at a control machine."""
    real = Controller._seed

    def mutant(self: Controller, now: int, cell: Cell) -> None:
        if (seeding := self.cells.get(cell.name)) is not None:
            seeding.cell = cell
        else:
            real(self, now, cell)

    return [patch.object(Controller, "_seed", mutant)]


def _retired_cell_seeded() -> list[Any]:
    """Seeds a retired cell again when a late message names it."""
    real = Controller._seed

    def mutant(self: Controller, now: int, cell: Cell) -> None:
        self.retired.clear()
        real(self, now, cell)

    return [patch.object(Controller, "_seed", mutant)]


def _cells_not_reported() -> list[Any]:
    """Sends a new leader no reports of the existing cells."""
    real = SeededCell.due_reports

    def mutant(
        self: SeededCell, now: int, epoch: Epoch, control: frozenset[str], rng: random.Random
    ) -> list[CellReport]:
        return real(self, now, epoch, control, rng) if self.receipt is None else []

    return [patch.object(SeededCell, "due_reports", mutant)]


def _restart_ignored() -> list[Any]:
    """Does not notify a restarted control machine of the cells that it seeds."""
    return [patch.object(DirectoryLeader, "_forget_reported", lambda self, address: None)]


def _retired_with_gateways() -> list[Any]:
    """Retires a closing cell that still has gateways."""
    real = Directory._rebalance

    def mutant(self: Directory, now: int, zone: Zone) -> Any:
        for entry in [e for e in self.entries.values() if e.cell.location == zone and e.cell.closing]:
            self._retire(entry)
        return real(self, now, zone)

    return [patch.object(Directory, "_rebalance", mutant)]


def _zones_mixed() -> list[Any]:
    """Places a gateway in the fullest cell of any zone, and leaves it there when it asks again."""
    return [patch.object(directory, "_is_open_in", lambda entry, zone: not entry.cell.closing)]


def _never_split() -> list[Any]:
    """Never splits a cell that has too many gateways."""
    real = Directory._start_change

    def mutant(self: Directory, now: int, zone: Zone) -> None:
        if all(len(e.members) <= self.policy.max_gateways for e in self._open_cells(zone)):
            real(self, now, zone)

    return [patch.object(Directory, "_start_change", mutant)]


def _never_merged() -> list[Any]:
    """Never closes a cell, however few gateways it has."""
    return [patch.object(Directory, "_is_redundant", lambda self, now, entry, entries: False)]


def _empty_cell_retired_early() -> list[Any]:
    """Closes a cell whose gateways have been unreachable for some seconds."""
    real = Directory._is_redundant

    def mutant(self: Directory, now: int, entry: CellEntry, entries: list[CellEntry]) -> bool:
        if entry.empty_since_ns is not None:
            return now - entry.empty_since_ns >= 10 * SECOND
        return real(self, now, entry, entries)

    return [patch.object(Directory, "_is_redundant", mutant)]


def _merges_without_delay() -> list[Any]:
    """Merges a cell that has changed just before, however full the other cell is."""

    def mutant(self: Directory, now: int, entry: CellEntry, entries: list[CellEntry]) -> bool:
        return entry.count() <= self.policy.max_gateways

    return [patch.object(Directory, "_is_redundant", mutant)]


def _lost_seed_kept() -> list[Any]:
    """Keeps a lost control machine as a seed."""
    return [patch.object(Directory, "_needs_new_seed", lambda self, now, entry: False)]


def _unreachable_seed_replaced() -> list[Any]:
    """Closes the cells of a seed that has been unreachable for two seconds, even with its entire region."""

    def mutant(self: Directory, now: int, entry: CellEntry) -> bool:
        return any(now - self._lost_since_ns.get(seed, now) >= 2 * SECOND for seed in entry.cell.seeds)

    return [patch.object(Directory, "_needs_new_seed", mutant)]


def _former_cell_forgotten() -> list[Any]:
    """Places a restarted gateway without regard to its former cell."""
    real = Directory.place

    def mutant(self: Directory, now: int, who: MemberId, locate: PlacementRequest) -> Placement | None:
        if locate.current is None:
            self._cell_of.pop(who[0], None)
        return real(self, now, who, locate)

    return [patch.object(Directory, "place", mutant)]


def _opens_before_rebuilding() -> list[Any]:
    """Opens cells as a new leader before the existing ones were reported."""
    return [
        patch.object(Directory, "is_rebuilding", lambda self, now: False),
        *_former_cell_forgotten(),
        *_never_merged(),
    ]


def _no_local_placement() -> list[Any]:
    """Places no new gateway while the leader is unreachable."""
    return [patch.object(Controller, "_place_without_leader", lambda self, now, who, locate: None)]


def _seeds_granted_slots() -> list[Any]:
    """Grants slots to seeds, which do not use them."""
    real = LeaseRenewal.next_request

    def due(self: LeaseRenewal, now: int, epoch: Epoch, number: Any) -> LeaseRequest | None:
        self._position = (-1, 0)
        return real(self, now, epoch, number)

    return [patch.object(LeaseRenewal, "next_request", due)]


MUTANTS: dict[str, Callable[[], list[Any]]] = {
    "cells-every-notice-followed": _every_notice_followed,
    "cells-never-moves": _never_moves,
    "cells-slots-kept": _slots_kept,
    "cells-joins-before-leaving": _joins_before_leaving,
    "cells-leaves-without-control": _leaves_without_control,
    "cells-requests-without-backoff": _requests_without_backoff,
    "cells-refreshes-at-once": _refreshes_at_once,
    "cells-leads-after-lease": _leads_after_lease,
    "cells-older-entry-accepted": _older_entry_accepted,
    "cells-retired-cell-seeded": _retired_cell_seeded,
    "cells-not-reported": _cells_not_reported,
    "cells-restart-ignored": _restart_ignored,
    "cells-retired-with-gateways": _retired_with_gateways,
    "cells-zones-mixed": _zones_mixed,
    "cells-never-split": _never_split,
    "cells-never-merged": _never_merged,
    "cells-empty-cell-retired-early": _empty_cell_retired_early,
    "cells-merges-without-delay": _merges_without_delay,
    "cells-lost-seed-kept": _lost_seed_kept,
    "cells-unreachable-seed-replaced": _unreachable_seed_replaced,
    "cells-former-cell-forgotten": _former_cell_forgotten,
    "cells-opens-before-rebuilding": _opens_before_rebuilding,
    "cells-no-local-placement": _no_local_placement,
    "cells-seeds-granted-slots": _seeds_granted_slots,
}


def is_detected(world: str, seed: int, name: str) -> bool:
    """Returns whether the world of this name and seed detects the mutant."""
    play = next(each for each in WORLDS if each.__name__ == world)
    with applied(MUTANTS[name]()):
        try:
            play(seed)
        except InvariantViolated:
            return True
    return False


def first_detection(name: str, seeds: Iterable[int]) -> tuple[str, int] | None:
    """Returns the name and seed of the first world that detects the mutant, or None if none does."""
    seeds = list(seeds)
    with applied(MUTANTS[name]()):
        for world in (*WORLDS[1:], WORLDS[0]):
            for seed in seeds:
                try:
                    world(seed)
                except InvariantViolated:
                    return world.__name__, seed
    return None
