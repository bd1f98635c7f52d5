"""What an operator is told of one member at one gateway. Plain values; decides nothing."""

from __future__ import annotations

import msgspec

from ..decide.tenant_account import TenantAccount
from .lease_manager import LeaseManager
from .terms import SECOND, partition_of

SOURCES = {
    "sound": "the counter",
    "doubted": "the counter, as last heard",
    "split": "the counter, less the even slices of gateways that are not seen",
    "lost": "this gateway's even slice",
    "rebuilding": "the counter, being written anew",
}


class Other(msgspec.Struct, frozen=True):
    """Another gateway's claim, as last read."""

    gateway: int
    share: float
    want: float
    seen_s: float  # since it was known to live; negative: never seen


class Report(msgspec.Struct, frozen=True):
    """Shares are of the whole; levels and rates are in units and units a second."""

    member: str
    partition: int
    state: str
    source: str
    replaced: int
    held: bool
    soft: float = 0.0
    hard: float = 0.0
    claimed: float = 0.0
    proven: float = 0.0
    even: float = 0.0
    want: float = 0.0
    plan: str = ""
    level: float = 0.0
    burst: float = 0.0
    rate: float = 0.0
    ceiling: float = 0.0
    ceiling_burst: float = 0.0
    open: int = 0
    open_most: int = 0
    cap: int = 0
    refused_for: str = ""
    others: tuple[Other, ...] = ()


def report(now: int, manager: LeaseManager, member: int, account: TenantAccount | None, cap: int) -> Report:
    """`account`: the module's, filled until now; None where no request of the member came here. `cap`: on the
    member's requests in flight."""
    partition = partition_of(member, manager.partitions)
    detector = manager.parts[partition].detector
    detector.look(now)
    state, held = detector.state(now), manager.leases.get(member)
    made = Report(
        f"{member & (1 << 64) - 1:016x}",
        partition,
        state,
        SOURCES[state],
        detector.replaced,
        held is not None,
    )
    if held is not None:
        others = tuple(
            Other(
                slot,
                claim.share,
                claim.want,
                detector.age(now, slot) / SECOND if slot in detector.seen else -1.0,
            )
            for slot, claim in sorted(held.others.items())
        )
        made = msgspec.structs.replace(
            made, claimed=held.claimed, proven=held.proven, even=held.even, want=held.want, others=others
        )
    if account is not None:
        plan = account.plan
        made = msgspec.structs.replace(
            made,
            soft=account.lease.quota_share,
            hard=account.lease.hard_limit_share,
            plan=plan.name,
            level=account.tokens,
            burst=plan.burst_units * account.lease.quota_share,
            rate=plan.rate_per_s * account.lease.quota_share,
            ceiling=account.hard_limit_tokens,
            ceiling_burst=plan.hard_limit_burst_units * account.lease.hard_limit_share,
            open=account.in_flight,
            open_most=int(plan.concurrency_limit * account.lease.concurrency_share + 1e-6),
            cap=cap,
            refused_for=account.rejection_reason,
        )
    return made
