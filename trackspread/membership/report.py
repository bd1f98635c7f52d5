"""What one gateway knows of its fleet, for operators. The field names of the structs are the keys of the
JSON."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from .identifiers import SECOND
from .member import Member
from .messages import GossipUpdate, State
from .slot_allocation import SLOT_COUNT


class MemberReport(msgspec.Struct, frozen=True):
    """One member as this gateway knows it; `in_view`: whether the view has just this process of its name."""

    name: str
    state: str
    created_at_ms: int = msgspec.field(name="born")
    incarnation: int = msgspec.field(name="life")
    version: str
    address: str
    since_s: float  # in this state
    in_view: bool


class FleetReport(msgspec.Struct, frozen=True):
    """All of it. `standing`: `settled`, `joining` (in no view yet), `waiting` (in it, while its slots are
    still leased to others, as far as is known), `parted` (cut off from the coordinator: nothing is known for
    sure), `fenced` or `left`."""

    fleet: str
    name: str
    status: str = msgspec.field(name="standing")
    view: tuple[int, int, int] | None
    members: int
    usable_fraction: float = msgspec.field(name="part")  # of the shared limits, that may be used here now
    leader: str
    is_coordinator: bool = msgspec.field(name="leads")
    health: int  # of this process; 0 is healthy
    known_members: tuple[MemberReport, ...] = msgspec.field(name="seen")
    differing_names: tuple[str, ...] = msgspec.field(name="differ")  # live or in the view, but not both
    counts: dict[str, int]
    dropped: dict[str, int]
    cell: str = ""  # where the fleet has cells: which one this view is of
    answered_s: float | None = None  # since a control machine answered; None: never, or there are no cells


def member_status(now_ns: int, member: Member) -> str:
    """One word for whether the member takes part; see `FleetReport`."""
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
    """The report at this instant. `counts`: the host's; `dropped`: messages that its wire dropped, by
    reason."""
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
