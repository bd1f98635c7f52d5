"""Reports to operators what one gateway knows of its fleet.

The encoded field names of the structs are the keys of the JSON.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from .identifiers import SECOND
from .member import Member
from .messages import GossipUpdate, State
from .slot_allocation import SLOT_COUNT


class MemberReport(msgspec.Struct, frozen=True):
    """Describes one member as this gateway knows it.

    `in_view` says whether the view contains exactly this process of the name.
    """

    name: str
    state: str
    created_at_ms: int = msgspec.field(name="born")
    incarnation: int = msgspec.field(name="life")
    version: str
    address: str
    since_s: float  # time in this state
    in_view: bool


class FleetReport(msgspec.Struct, frozen=True):
    """Describes the fleet as this gateway knows it.

    `status` is `settled`, `joining` (in no view yet), `waiting` (in the view, while its slots are still
    leased to others, as far as is known), `parted` (cut off from the coordinator, so that nothing is known
    for certain), `fenced` or `left`.
    """

    fleet: str
    name: str
    status: str = msgspec.field(name="standing")
    view: tuple[int, int, int] | None
    members: int
    usable_fraction: float = msgspec.field(name="part")  # fraction of the shared limits usable here now
    leader: str
    is_coordinator: bool = msgspec.field(name="leads")
    health: int  # health score of this process; 0 is healthy
    known_members: tuple[MemberReport, ...] = msgspec.field(name="seen")
    differing_names: tuple[str, ...] = msgspec.field(name="differ")  # live or in the view, but not both
    counts: dict[str, int]
    dropped: dict[str, int]
    cell: str = ""  # the cell that this view belongs to, in a fleet that has cells
    # Time since a control machine answered; None where none has answered or the fleet has no cells.
    answered_s: float | None = None


def member_status(now_ns: int, member: Member) -> str:
    """Returns the member's status as `FleetReport` lists them."""
    if member.is_fenced:
        return "fenced"
    if member.has_left:
        return "left"
    if member.view is None or member.member_id not in member.view.members:
        return "joining"
    if member.usable_slots(now_ns):
        return "settled"
    return "waiting" if now_ns < member.lease.valid_until_ns else "parted"


def fleet_report(
    now_ns: int, member: Member, counts: Mapping[str, int], dropped: Mapping[str, int]
) -> FleetReport:
    """Returns the report at this instant.

    `counts` are those of the host, and `dropped` counts the messages that its wire dropped, by reason.
    """
    table, view = member.member_table, member.view
    in_view = set(view.members) if view is not None else set()
    known = [(table.own_update, member.started_at_ns)]
    known += [(entry.update, entry.since_ns) for entry in table.by_name.values()]
    reports = [
        _member_report(update, (now_ns - since_ns) / SECOND, update.member_id in in_view)
        for update, since_ns in known
    ]
    differing = {name for name, _ in in_view ^ set(table.live())}
    return FleetReport(
        fleet=member.settings.fleet,
        name=table.own_update.name,
        status=member_status(now_ns, member),
        view=view.number if view is not None else None,
        members=len(in_view),
        usable_fraction=round(member.usable_slots(now_ns).bit_count() / SLOT_COUNT, 4),
        leader=member.leader.member_id[0] if member.leader is not None else "",
        is_coordinator=member.is_coordinator(now_ns),
        health=member.state.prober.health,
        known_members=tuple(sorted(reports, key=lambda report: report.name)),
        differing_names=tuple(sorted(differing)),
        counts=dict(counts),
        dropped=dict(dropped),
    )


def _member_report(update: GossipUpdate, since_s: float, in_view: bool) -> MemberReport:
    is_slow = update.slow and update.state == State.ALIVE
    return MemberReport(
        name=update.name,
        state="SLOW" if is_slow else State(update.state).name,
        created_at_ms=update.created_at_ms,
        incarnation=update.incarnation,
        version=update.version,
        address=f"{update.host}:{update.port}",
        since_s=round(since_s, 1),
        in_view=in_view,
    )
