"""Builds the JSON of `trackspread quota`: one gateway's report on one tenant. It decides nothing."""

from __future__ import annotations

import msgspec

from ..decide.tenant_account import TenantAccount
from ..decide.time_units import SECOND
from .failure_detector import FailureDetector
from .lease import Lease
from .lease_manager import LeaseManager
from .lease_terms import TENANT_MASK, partition_of

# Tolerance for attempts in flight: a limit multiplied by a share may fall just short of an integer.
ROUNDING = 1e-6
# Maps each state of the failure detector to the source of the shares, in the words of the command's page.
SOURCES = {
    "sound": "the counter",
    "doubted": "the counter, as last heard",
    "split": "the counter, less the even slices of gateways that are not seen",
    "lost": "this gateway's even slice",
    "rebuilding": "the counter, being written anew",
}


class OtherGateway(msgspec.Struct, frozen=True):
    """Another gateway's claim as it was last read; the stored names are those of the JSON.

    `seen_s` is the time in seconds since the gateway was last known to be alive; a negative value means that
    it was never seen.
    """

    gateway: int
    share: float
    demand_per_s: float = msgspec.field(name="want")
    seen_s: float


class TenantReport(msgspec.Struct, frozen=True):
    """One gateway's report on one tenant; the names in the JSON are the fields' own unless one is given.

    Shares are fractions of the complete limit. Tokens and bursts are in units, rates in units per second.
    """

    tenant: str = msgspec.field(name="member")
    partition: int
    state: str
    source: str
    replacements: int = msgspec.field(name="replaced")
    is_leased: bool = msgspec.field(name="held")
    quota_share: float = msgspec.field(default=0.0, name="soft")
    hard_limit_share: float = msgspec.field(default=0.0, name="hard")
    claimed_share: float = msgspec.field(default=0.0, name="claimed")
    proven_share: float = msgspec.field(default=0.0, name="proven")
    static_share: float = msgspec.field(default=0.0, name="even")
    demand_per_s: float = msgspec.field(default=0.0, name="want")
    plan: str = ""
    tokens: float = msgspec.field(default=0.0, name="level")
    burst: float = 0.0
    rate: float = 0.0
    hard_limit_tokens: float = msgspec.field(default=0.0, name="ceiling")
    hard_limit_burst: float = msgspec.field(default=0.0, name="ceiling_burst")
    in_flight: int = msgspec.field(default=0, name="open")
    concurrency_limit: int = msgspec.field(default=0, name="open_most")
    cap: int = 0
    rejection_reason: str = msgspec.field(default="", name="refused_for")
    others: tuple[OtherGateway, ...] = ()


def tenant_report(
    now: int, manager: LeaseManager, tenant: int, account: TenantAccount | None, cap: int
) -> TenantReport:
    """Returns the report on one tenant at `now`, which is in ns.

    `account` is the decision module's, refilled up to now; it is None if the tenant sent no request to this
    gateway. `cap` limits the tenant's requests in flight.
    """
    partition = partition_of(tenant, manager.partition_count)
    detector = manager.partition_states[partition].detector
    detector.review(now)
    state = detector.state(now)
    lease = manager.leases.get(tenant)
    report = TenantReport(
        tenant=f"{tenant & TENANT_MASK:016x}",
        partition=partition,
        state=state,
        source=SOURCES[state],
        replacements=detector.replacements,
        is_leased=lease is not None,
    )
    if lease is not None:
        report = _with_lease(report, now, lease, detector)
    return report if account is None else _with_account(report, account, cap)


def _with_lease(report: TenantReport, now: int, lease: Lease, detector: FailureDetector) -> TenantReport:
    others = tuple(
        OtherGateway(
            gateway=gateway,
            share=claim.share,
            demand_per_s=claim.demand_per_s,
            seen_s=detector.age_ns(now, gateway) / SECOND if gateway in detector.observations else -1.0,
        )
        for gateway, claim in sorted(lease.other_claims.items())
    )
    return msgspec.structs.replace(
        report,
        claimed_share=lease.claimed_share,
        proven_share=lease.proven_share,
        static_share=lease.static_share,
        demand_per_s=lease.demand_per_s,
        others=others,
    )


def _with_account(report: TenantReport, account: TenantAccount, cap: int) -> TenantReport:
    plan = account.plan
    return msgspec.structs.replace(
        report,
        quota_share=account.lease.quota_share,
        hard_limit_share=account.lease.hard_limit_share,
        plan=plan.name,
        tokens=account.tokens,
        burst=plan.burst_units * account.lease.quota_share,
        rate=plan.rate_per_s * account.lease.quota_share,
        hard_limit_tokens=account.hard_limit_tokens,
        hard_limit_burst=plan.hard_limit_burst_units * account.lease.hard_limit_share,
        in_flight=account.in_flight,
        concurrency_limit=int(plan.concurrency_limit * account.lease.concurrency_share + ROUNDING),
        cap=cap,
        rejection_reason=account.rejection_reason,
    )
