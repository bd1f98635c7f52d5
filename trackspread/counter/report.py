"""What one gateway reports to operators of one tenant: the JSON of `trackspread quota`. Decides nothing."""

from __future__ import annotations

import msgspec

from ..decide.tenant_account import TenantAccount
from ..decide.time_units import SECOND
from .failure_detector import FailureDetector
from .lease import Lease
from .lease_manager import LeaseManager
from .lease_terms import TENANT_MASK, partition_of

ROUNDING = 1e-6  # of attempts in flight: a limit times a share may fall just short of a whole number
# Where the shares of each state of the failure detector come from, in the words of the command's page.
SOURCES = {
    "sound": "the counter",
    "doubted": "the counter, as last heard",
    "split": "the counter, less the even slices of gateways that are not seen",
    "lost": "this gateway's even slice",
    "rebuilding": "the counter, being written anew",
}


class OtherGateway(msgspec.Struct, frozen=True):
    """Another gateway's claim, as last read. Field names are those of the JSON."""

    gateway: int
    share: float
    want: float
    seen_s: float  # since it was known to live; negative: never seen


class TenantReport(msgspec.Struct, frozen=True):
    """Shares are of the whole limit; levels and bursts are in units, rates in units a second. Field names are
    those of the JSON."""

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
    others: tuple[OtherGateway, ...] = ()


def tenant_report(
    now: int, manager: LeaseManager, tenant: int, account: TenantAccount | None, cap: int
) -> TenantReport:
    """The report of one tenant at `now`, ns.

    `account`: the decision module's, refilled until now; None where no request of the tenant came here.
    `cap`: on the tenant's requests in flight."""
    partition = partition_of(tenant, manager.partition_count)
    detector = manager.partition_states[partition].detector
    detector.review(now)
    state = detector.state(now)
    lease = manager.leases.get(tenant)
    report = TenantReport(
        member=f"{tenant & TENANT_MASK:016x}",
        partition=partition,
        state=state,
        source=SOURCES[state],
        replaced=detector.replacements,
        held=lease is not None,
    )
    if lease is not None:
        report = _with_lease(report, now, lease, detector)
    return report if account is None else _with_account(report, account, cap)


def _with_lease(report: TenantReport, now: int, lease: Lease, detector: FailureDetector) -> TenantReport:
    others = tuple(
        OtherGateway(
            gateway=gateway,
            share=claim.share,
            want=claim.demand_per_s,
            seen_s=detector.age_ns(now, gateway) / SECOND if gateway in detector.observations else -1.0,
        )
        for gateway, claim in sorted(lease.other_claims.items())
    )
    return msgspec.structs.replace(
        report,
        claimed=lease.claimed_share,
        proven=lease.proven_share,
        even=lease.static_share,
        want=lease.demand_per_s,
        others=others,
    )


def _with_account(report: TenantReport, account: TenantAccount, cap: int) -> TenantReport:
    plan = account.plan
    return msgspec.structs.replace(
        report,
        soft=account.lease.quota_share,
        hard=account.lease.hard_limit_share,
        plan=plan.name,
        level=account.tokens,
        burst=plan.burst_units * account.lease.quota_share,
        rate=plan.rate_per_s * account.lease.quota_share,
        ceiling=account.hard_limit_tokens,
        ceiling_burst=plan.hard_limit_burst_units * account.lease.hard_limit_share,
        open=account.in_flight,
        open_most=int(plan.concurrency_limit * account.lease.concurrency_share + ROUNDING),
        cap=cap,
        refused_for=account.rejection_reason,
    )
