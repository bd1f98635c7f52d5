"""Where gateways and control machines run, and how large cells are."""

from __future__ import annotations

from typing import NamedTuple

from ..membership.identifiers import SECOND, Address

SEEDS_PER_CELL = 3  # a cell goes on without any one of them
MAX_CELL_MEMBERS = 64  # gateways and seeds: the limit of a cell's member tables


class Zone(NamedTuple):
    """A zone of a region; zones of several regions may have one name."""

    region: str
    zone: str

    def __str__(self) -> str:
        return f"{self.region}/{self.zone}"


class ControlMachine(NamedTuple):
    """A machine set aside for control; all processes of a fleet list the same ones in the same order."""

    name: str
    region: str
    zone: str
    address: Address


class CellPolicy(NamedTuple):
    """How large cells are. `max_merged_gateways` is well under `target_gateways`, and half of `max_gateways`
    well over `min_gateways`, so that neither a split nor a merge brings about the other."""

    target_gateways: int = 24  # below which a cell accepts newcomers
    max_gateways: int = 28  # above which it is split; with the seeds its view still fits into one datagram
    min_gateways: int = 8  # up to which it is merged with another
    max_merged_gateways: int = 20  # of both together
    max_fleet_gateways: int = 8_192  # further ones are not placed
    merge_delay_ns: int = 30 * SECOND  # for which a cell has to be small before it is closed
    # Without a seed, after which its cells close: a restart is shorter.
    seed_loss_timeout_ns: int = 120 * SECOND
    empty_timeout_ns: int = 600 * SECOND  # without gateways until a cell closes: they may just be unreachable
