"""Describes where gateways and control machines run, and how large cells are."""

from __future__ import annotations

from typing import NamedTuple

from ..membership.identifiers import SECOND, Address

SEEDS_PER_CELL = 3  # a cell continues to work without any one of its seeds
MAX_CELL_MEMBERS = 64  # limit of a cell's member tables, gateways and seeds together


class Zone(NamedTuple):
    """Identifies a zone of a region; zones of different regions may have the same name."""

    region: str
    zone: str

    def __str__(self) -> str:
        return f"{self.region}/{self.zone}"


class ControlMachine(NamedTuple):
    """Describes a control machine; all processes of a fleet list the same machines in the same order."""

    name: str
    region: str
    zone: str
    address: Address


class CellPolicy(NamedTuple):
    """Holds the limits on the size of cells and the delays before cells change.

    `max_merged_gateways` is well under `target_gateways`, and half of `max_gateways` well over
    `min_gateways`, so that neither a split nor a merge causes the other.
    """

    target_gateways: int = 24  # a cell with fewer gateways accepts new ones
    max_gateways: int = 28  # a larger cell is split; up to here a view with its seeds fits into one datagram
    min_gateways: int = 8  # a cell with at most so many gateways is merged with another
    max_merged_gateways: int = 20  # limit of the gateways of two merged cells together
    max_fleet_gateways: int = 8_192  # further gateways are not placed
    merge_delay_ns: int = 30 * SECOND  # time for which a cell has to be small before it is closed
    # A cell that has lost a seed for this time is closed; a restart takes less.
    seed_loss_timeout_ns: int = 120 * SECOND
    # A cell without gateways for this time is closed; until then they may only be unreachable.
    empty_timeout_ns: int = 600 * SECOND
