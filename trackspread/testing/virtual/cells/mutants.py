"""Membership in levels with one fault each, for the worlds to convict. Each breaks one rule of `cells/`."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any
from unittest.mock import patch

from msgspec import structs

from ....cells import gateway
from ....cells.controller import Controller
from ....cells.directory import Directory, Entry
from ....cells.gateway import Gateway
from ....cells.leading import Leading
from ....cells.seeding import Seeding
from ....cells.terms import (
    Cell,
    CellReport,
    CellsAction,
    Left,
    Locate,
    Located,
    Message,
    Placement,
    Zone,
)
from ....membership.identifiers import SECOND, Address, Epoch, MemberId
from ....membership.lease_renewal import LeaseRenewal
from ....membership.messages import LeaseRequest
from ..patches import held
from ..stage import Broken
from .worlds import WORLDS


def _any_word() -> list[Any]:
    """A gateway goes by whatever came last, whichever process of its name that was for."""
    real = Gateway.message

    def message(self: Gateway, now: int, word: Message, source: Address) -> list[CellsAction]:
        if isinstance(word.body, Located):
            word = structs.replace(word, body=Located(self.member_id, word.body.placement))
        return real(self, now, word, source)

    def mutant(self: Gateway, now: int, placement: Placement) -> None:
        if self.held is None:
            self._join(now, placement)
        elif placement.cell.name == self.held.cell.name:
            self.held = placement
        else:
            self._leave(now)
            self._join(now, placement)

    return [patch.object(Gateway, "_placed", mutant), patch.object(Gateway, "message", message)]


def _first_word() -> list[Any]:
    """A gateway never moves."""

    def mutant(self: Gateway, now: int, placement: Placement) -> None:
        if self.held is None:
            self._join(now, placement)

    return [patch.object(Gateway, "_placed", mutant)]


def _kept_slots() -> list[Any]:
    """Who moves does not give its slots back, and acts on them until they end."""

    def mutant(self: Gateway, now: int) -> None:
        if self.member is not None and self.held is not None:
            self._born = self.member.member_id[1]
            self._out.append(Left(self.held))
            self.member = None

    return [patch.object(Gateway, "_leave", mutant)]


def _joins_first() -> list[Any]:
    """Who moves joins the other cell before it leaves the one it is in."""

    def mutant(self: Gateway, now: int, placement: Placement) -> None:
        before, member = self.held, self.member
        if before is not None and placement.cell.name == before.cell.name:
            self.held = max(before, placement, key=lambda each: each.number)
        elif before is None or placement.number > before.number:
            self._join(now, placement)
            if before is not None and member is not None:
                member.leave(now)
                self._out.append(Left(before))

    return [patch.object(Gateway, "_placed", mutant)]


def _gives_up_its_cell() -> list[Any]:
    """A gateway leaves its cell when no control machine answers."""
    real = Gateway._ask

    def mutant(self: Gateway, now: int) -> None:
        if self._failed > 2:
            self._leave(now)
            self.held = None
        real(self, now)

    return [patch.object(Gateway, "_ask", mutant)]


def _asks_without_pause() -> list[Any]:
    return [patch.object(gateway, "ASK_MOST", gateway.ASK)]


def _asks_together() -> list[Any]:
    """Whoever was answered asks again at once."""
    return [patch.object(gateway, "REFRESH", gateway.ASK)]


def _leads_on() -> list[Any]:
    """Who once led goes on, though its time is over."""
    real = Controller._lead

    def lead(self: Controller, now: int) -> None:
        if self.leading is None or self.tier.is_coordinator(now):
            real(self, now)

    return [
        patch.object(Controller, "_lead", lead),
        patch.object(Controller, "leads", lambda self, now: self.leading is not None),
    ]


def _entry_goes_back() -> list[Any]:
    """A control machine takes any entry, also an older one."""
    real = Controller._seed

    def mutant(self: Controller, now: int, cell: Cell) -> None:
        if (seeding := self.cells.get(cell.name)) is not None:
            seeding.cell = cell
        else:
            real(self, now, cell)

    return [patch.object(Controller, "_seed", mutant)]


def _brought_back() -> list[Any]:
    """A cell that was given up is seeded again when a late word says so."""
    real = Controller._seed

    def mutant(self: Controller, now: int, cell: Cell) -> None:
        self.given_up.clear()
        real(self, now, cell)

    return [patch.object(Controller, "_seed", mutant)]


def _not_reported() -> list[Any]:
    """A new leader hears nothing of the cells that there are."""
    real = Seeding.reports

    def mutant(
        self: Seeding, now: int, epoch: Epoch, control: frozenset[str], rng: random.Random
    ) -> list[CellReport]:
        return real(self, now, epoch, control, rng) if self.noted is None else []

    return [patch.object(Seeding, "reports", mutant)]


def _restart_unseen() -> list[Any]:
    """A control machine that starts anew is not told what it seeds."""
    return [patch.object(Leading, "_forget", lambda self, address: None)]


def _given_up_full() -> list[Any]:
    """A closing cell is given up though it has gateways."""
    real = Directory._moved

    def mutant(self: Directory, now: int, zone: Zone) -> Any:
        for entry in [e for e in self.entries.values() if e.cell.place == zone and e.cell.closing]:
            self._give_up(entry)
        return real(self, now, zone)

    return [patch.object(Directory, "_moved", mutant)]


def _zones_mixed() -> list[Any]:
    """A gateway is sent to the fullest cell of any zone."""

    def mutant(self: Directory, zone: Zone) -> list[Entry]:
        return [e for e in self.entries.values() if not e.cell.closing]

    return [patch.object(Directory, "_open", mutant)]


def _never_split() -> list[Any]:
    real = Directory._begin

    def mutant(self: Directory, now: int, zone: Zone) -> None:
        if all(len(e.members) <= self.policy.most for e in self._open(zone)):
            real(self, now, zone)

    return [patch.object(Directory, "_begin", mutant)]


def _never_merged() -> list[Any]:
    return [patch.object(Directory, "_spare", lambda self, now, entry, entries: False)]


def _empty_given_up_soon() -> list[Any]:
    """A cell whose gateways are out of reach for some seconds is given up."""
    real = Directory._spare

    def mutant(self: Directory, now: int, entry: Entry, entries: list[Entry]) -> bool:
        if entry.empty_since is not None:
            return now - entry.empty_since >= 10 * SECOND
        return real(self, now, entry, entries)

    return [patch.object(Directory, "_spare", mutant)]


def _merges_without_pause() -> list[Any]:
    """A cell that has just been opened or left is merged, however full the other."""

    def mutant(self: Directory, now: int, entry: Entry, entries: list[Entry]) -> bool:
        return entry.count() <= self.policy.most

    return [patch.object(Directory, "_spare", mutant)]


def _seeds_for_ever() -> list[Any]:
    """A control machine that is gone stays a seed."""
    return [patch.object(Directory, "_without_seed", lambda self, now, entry: False)]


def _cut_off_is_gone() -> list[Any]:
    """Any seed out of reach for a moment has its cells closed, also with its whole region."""

    def mutant(self: Directory, now: int, entry: Entry) -> bool:
        return any(now - self._lost.get(seed, now) >= 2 * SECOND for seed in entry.cell.seeds)

    return [patch.object(Directory, "_without_seed", mutant)]


def _former_cell_forgotten() -> list[Any]:
    """Who starts anew is sent anywhere."""
    real = Directory.locate

    def mutant(self: Directory, now: int, who: MemberId, locate: Locate) -> Placement | None:
        if locate.held is None:
            self._where.pop(who[0], None)
        return real(self, now, who, locate)

    return [patch.object(Directory, "locate", mutant)]


def _opens_unasked() -> list[Any]:
    """A new leader opens cells before it has heard of those that there are."""
    return [
        patch.object(Directory, "rebuilding", lambda self, now: False),
        *_former_cell_forgotten(),
        *_never_merged(),
    ]


def _no_local_placement() -> list[Any]:
    """Newcomers wait for the leader, however long it is out of reach."""
    return [patch.object(Controller, "_without_leader", lambda self, now, who, locate: None)]


def _witness_granted() -> list[Any]:
    """Seeds are granted slots, which nobody acts on."""
    real = LeaseRenewal.next_request

    def due(self: LeaseRenewal, now: int, epoch: Epoch, number: Any) -> LeaseRequest | None:
        self._position = (-1, 0)
        return real(self, now, epoch, number)

    return [patch.object(LeaseRenewal, "next_request", due)]


MUTANTS: dict[str, Callable[[], list[Any]]] = {
    "cells-any-word": _any_word,
    "cells-first-word": _first_word,
    "cells-kept-slots": _kept_slots,
    "cells-joins-first": _joins_first,
    "cells-gives-up": _gives_up_its_cell,
    "cells-asks-without-pause": _asks_without_pause,
    "cells-asks-together": _asks_together,
    "cells-leads-on": _leads_on,
    "cells-entry-goes-back": _entry_goes_back,
    "cells-brought-back": _brought_back,
    "cells-not-reported": _not_reported,
    "cells-restart-unseen": _restart_unseen,
    "cells-given-up-full": _given_up_full,
    "cells-zones-mixed": _zones_mixed,
    "cells-never-split": _never_split,
    "cells-never-merged": _never_merged,
    "cells-empty-given-up": _empty_given_up_soon,
    "cells-merges-without-pause": _merges_without_pause,
    "cells-seeds-for-ever": _seeds_for_ever,
    "cells-cut-off-is-gone": _cut_off_is_gone,
    "cells-former-forgotten": _former_cell_forgotten,
    "cells-opens-unasked": _opens_unasked,
    "cells-no-local-placement": _no_local_placement,
    "cells-witness-granted": _witness_granted,
}


def tells(world: str, seed: int, name: str) -> bool:
    """Whether this world convicts the mutant."""
    played = next(each for each in WORLDS if each.__name__ == world)
    with held(MUTANTS[name]()):
        try:
            played(seed)
        except Broken:
            return True
    return False


def convict(name: str, seeds: Iterable[int]) -> tuple[str, int] | None:
    """The first world, by its name, and seed that tell the mutant; None if none does."""
    seeds = list(seeds)
    with held(MUTANTS[name]()):
        for world in (*WORLDS[1:], WORLDS[0]):
            for seed in seeds:
                try:
                    world(seed)
                except Broken:
                    return world.__name__, seed
    return None
