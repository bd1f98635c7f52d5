"""Manages the leases of all tenants at one gateway and turns requests and replies into calls and grants.

Rules:
- Nothing blocks: a request gets at once what is usable, and more when the counter has answered.
- There is one call on a key at a time. A call without a reply within `CALL_TIMEOUT_NS` has failed, and a
  later reply is ignored.
- Before the first heartbeat after a loss of the counter, claims are written for all that is used here
  (`Lease.next_claim`).
- The rate of calls is limited: a failed call halves it, an answered call raises it. Heartbeats are sent
  before claims.

The module does no I/O and does not know sockets, the event loop or the decision module.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from ..decide.time_units import MILLISECOND, SECOND
from .calls import Call, Grant, Reply
from .claims import pack_heartbeat
from .failure_detector import FailureDetector
from .lease import FOLLOW_UP_NS, Lease, UsableShares
from .lease_terms import LeaseTerms, partition_of, static_share
from .timing import CALL_TIMEOUT_NS, EPSILON, GUARANTEED_PART, HEARTBEAT_NS, MAX_TENANTS, MINIMUM_PART

TICK_NS = 50 * MILLISECOND  # interval between reviews, an eighth of a heartbeat interval
MIN_CALLS_PER_S = 50.0  # lowest rate of one gateway's calls
MAX_CALLS_PER_S = 20_000.0
INITIAL_CALLS_PER_S = 1_000.0  # doubles within some twenty replies
RATE_RAISE = 1.05  # factor on the rate for each reply
BUDGET_S = 0.1  # time for which unused calls are saved, which limits how many are sent at once
MAX_PENDING_CALLS = 512
NOTABLE_CHANGE = 1e-4  # smallest raise of a share that the decision module is notified of
MAX_QUEUE_SURPLUS = 64  # outdated entries that the queue may hold in addition to four for each lease

Output = Call | Grant
# Returns the units that a tenant spent here and the tokens of its quota's bucket.
UsageCount = Callable[[int], tuple[float, float]]


@dataclass(slots=True)
class PendingCall:
    """Holds a call without a reply; `claimed_share` is what it claims, `has_value` says that it writes."""

    call: Call
    sent_at_ns: int
    claimed_share: float = 0.0
    has_value: bool = False


@dataclass(frozen=True, slots=True)
class Review:
    """Holds the findings of a partition's failure detector that leases depend on."""

    is_known_alive: bool
    may_use_static_share: bool
    unresponsive: frozenset[int]
    expired: frozenset[int]
    may_write: bool


@dataclass(slots=True)
class PartitionState:
    """Holds the state of one partition.

    `is_returning` says that this gateway returns from a loss of the counter. The claims of
    `unwritten_tenants` are then to be written before the next heartbeat.
    """

    detector: FailureDetector
    heartbeat_due_ns: int
    tenants: set[int] = field(default_factory=set)
    unwritten_tenants: set[int] = field(default_factory=set)
    is_returning: bool = False
    heartbeat_pending: bool = False
    last_review: Review | None = None


class LeaseManager:
    """Holds all leases of one gateway.

    The caller calls `before_request` before each request, `on_shortage` for a request that the decision
    module queued, `tick` at `due_ns`, and `on_reply` or `on_failure` for each call. All return the calls and
    grants to carry out, in order.
    """

    def __init__(
        self,
        gateway: int,
        gateway_count: int,
        partitions: int,
        incarnation: int,
        seed: int,
        now: int,
        usage: UsageCount,
    ) -> None:
        self._usage = usage
        self.gateway = gateway
        self.gateway_count = gateway_count
        self.partition_count = partitions
        self._rng = random.Random(seed)
        self.partition_states = [
            PartitionState(
                FailureDetector(gateway, gateway_count, incarnation, now),
                now + self._rng.randrange(TICK_NS),
            )
            for _ in range(partitions)
        ]
        self.leases: dict[int, Lease] = {}
        self.due_ns = now
        self.call_counts: Counter[str] = Counter()  # keys: beats, members, failed
        self.calls_per_s = INITIAL_CALLS_PER_S
        self._call_budget = INITIAL_CALLS_PER_S * BUDGET_S
        self._budget_updated_ns = now
        self._pending_calls: dict[int, PendingCall] = {}
        self._tenants_in_call: set[int] = set()  # tenants with a pending call
        self._waiting_tenants: set[int] = set()  # tenants for whose grant the decision module waits
        self._last_shares: dict[int, UsableShares] = {}  # the last granted shares by tenant
        self._due_queue: list[tuple[int, int]] = []  # due time in ns and tenant; outdated entries are skipped
        self._last_call_id = 0

    def before_request(self, now: int, tenant: int, terms: LeaseTerms, units: float) -> list[Output]:
        """Counts a request that has arrived and returns the calls and grants to carry out.

        It is to be called before the decision module gets the request.
        """
        outputs: list[Output] = self.tick(now) if now >= self.due_ns else []
        lease = self.leases.get(tenant)
        if lease is None:
            if len(self.leases) >= MAX_TENANTS:
                return [*outputs, self._grant_without_lease(tenant, terms)]
            lease = self._open_lease(now, tenant, terms)
        elif lease.terms is not terms and lease.terms != terms:
            lease.change_terms(terms)
        due_ns = lease.due_ns
        lease.record_request(now, units)
        if lease.due_ns != due_ns:
            self._schedule(lease)
        outputs += self._grant_changes(now, lease)
        if lease.due_ns <= now:
            outputs += self._send_due_claims(now)
        return outputs

    def _grant_without_lease(self, tenant: int, terms: LeaseTerms) -> Grant:
        share = static_share(tenant, terms, self.gateway)
        return Grant(
            tenant=tenant,
            quota_share=MINIMUM_PART * share,
            hard_limit_share=GUARANTEED_PART * share,
            concurrency_share=0.0,
            spent_elsewhere_units=0.0,
            tokens=None,
            more_expected=False,
        )

    def on_shortage(self, now: int, tenant: int) -> list[Output]:
        """Answers a request that the decision module queued for lack of tokens.

        One `Grant` follows, either now or with the reply to the first claim on the tenant.
        """
        lease = self.leases.get(tenant)
        if lease is None:
            return []
        self._waiting_tenants.add(tenant)
        return self._send_due_claims(now) + self._grant_changes(now, lease)

    def _open_lease(self, now: int, tenant: int, terms: LeaseTerms) -> Lease:
        lease = Lease(tenant, terms, self.gateway, now)
        self.leases[tenant] = lease
        partition = self._partition_of(tenant)
        partition.tenants.add(tenant)
        if partition.is_returning:
            partition.unwritten_tenants.add(tenant)
        self._schedule(lease)
        return lease

    def _partition_of(self, tenant: int) -> PartitionState:
        return self.partition_states[partition_of(tenant, self.partition_count)]

    def tick(self, now: int) -> list[Output]:
        """Fails calls without a reply and sends the heartbeats and claims due at `now`, which is in ns."""
        outputs: list[Output] = []
        self.due_ns = now + TICK_NS
        overdue = [
            call_id
            for call_id, pending in self._pending_calls.items()
            if now - pending.sent_at_ns >= CALL_TIMEOUT_NS
        ]
        for call_id in overdue:
            outputs += self.on_failure(now, call_id)
        for index, partition in enumerate(self.partition_states):
            outputs += self._review(now, partition)
            if now >= partition.heartbeat_due_ns and not partition.heartbeat_pending:
                outputs.append(self._heartbeat(now, index, partition))
        return outputs + self._send_due_claims(now)

    def _review(self, now: int, partition: PartitionState) -> list[Output]:
        """Updates which gateways are unresponsive and returns the grants that change for it."""
        detector = partition.detector
        detector.review(now)
        is_known_alive = detector.is_known_alive(now)
        review = Review(
            is_known_alive,
            is_known_alive or detector.is_static_share_free(now),
            detector.unresponsive,
            detector.expired,
            detector.may_write,
        )
        if review == partition.last_review:
            return []
        partition.last_review = review
        outputs: list[Output] = []
        for tenant in partition.tenants:
            outputs += self._grant_changes(now, self.leases[tenant])
        return outputs

    def _heartbeat(self, now: int, index: int, partition: PartitionState) -> Call:
        detector = partition.detector
        partition.heartbeat_due_ns = now + HEARTBEAT_NS - self._rng.randrange(HEARTBEAT_NS // 8)
        is_unwritten = partition.is_returning and bool(partition.unwritten_tenants)
        value: bytes | None = None
        if detector.may_write and not is_unwritten:
            value = pack_heartbeat(detector.next_heartbeat(now))
        partition.heartbeat_pending = True
        self.call_counts["beats"] += 1
        return self._start_call(now, index, None, value)

    def _may_claim(self, now: int, partition: PartitionState) -> bool:
        """Returns whether a claim can have an effect now."""
        detector = partition.detector
        return detector.may_write and (detector.is_known_alive(now) or partition.is_returning)

    def _send_due_claims(self, now: int) -> list[Output]:
        """Returns the claims that are due, as far as the rate of calls allows."""
        self._refill_call_budget(now)
        outputs: list[Output] = []
        while self._has_due_claim(now):
            due_ns, tenant = heappop(self._due_queue)
            lease = self.leases.get(tenant)
            if lease is None or lease.due_ns != due_ns or tenant in self._tenants_in_call:
                continue
            index = partition_of(tenant, self.partition_count)
            partition = self.partition_states[index]
            if not self._may_claim(now, partition):
                lease.due_ns = now + HEARTBEAT_NS // 2
                self._schedule(lease)
                continue
            self._call_budget -= 1.0
            value = lease.next_claim(now, partition.detector, *self._usage(tenant))
            outputs += self._grant_changes(now, lease)
            self._tenants_in_call.add(tenant)
            self.call_counts["members"] += 1
            outputs.append(self._start_call(now, index, tenant, value, lease.announced_share))
        return outputs

    def _refill_call_budget(self, now: int) -> None:
        saved = self._call_budget + self.calls_per_s * (now - self._budget_updated_ns) / SECOND
        self._call_budget = min(self.calls_per_s * BUDGET_S + 1.0, saved)
        self._budget_updated_ns = now

    def _has_due_claim(self, now: int) -> bool:
        """Returns whether a claim is due and another call may be sent now."""
        if not self._due_queue or self._due_queue[0][0] > now:
            return False
        return self._call_budget >= 1.0 and len(self._pending_calls) < MAX_PENDING_CALLS

    def _start_call(
        self, now: int, index: int, tenant: int | None, value: bytes | None, claimed_share: float = 0.0
    ) -> Call:
        self._last_call_id += 1
        call = Call(self._last_call_id, index, tenant, value)
        self._pending_calls[call.call_id] = PendingCall(call, now, claimed_share, value is not None)
        return call

    def _schedule(self, lease: Lease) -> None:
        heappush(self._due_queue, (lease.due_ns, lease.tenant))
        if len(self._due_queue) > MAX_QUEUE_SURPLUS + 4 * len(self.leases):
            self._due_queue = [(each.due_ns, tenant) for tenant, each in self.leases.items()]
            heapify(self._due_queue)

    def on_reply(self, now: int, call_id: int, reply: Reply) -> list[Output]:
        """Handles the counter's reply to a call."""
        pending = self._pending_calls.get(call_id)
        if pending is None or now - pending.sent_at_ns >= CALL_TIMEOUT_NS:
            return self.on_failure(now, call_id)  # after a pause of this process the reply is old
        del self._pending_calls[call_id]
        self.calls_per_s = min(MAX_CALLS_PER_S, self.calls_per_s * RATE_RAISE)
        partition = self.partition_states[pending.call.partition]
        tenant = pending.call.tenant
        if tenant is None:
            return self._on_heartbeat_reply(now, partition, pending, reply)
        self._tenants_in_call.discard(tenant)
        lease = self.leases.get(tenant)
        if lease is None:
            return []
        partition.detector.review(now)
        lease.on_reply(now, pending.sent_at_ns, pending.claimed_share, reply, partition.detector)
        partition.unwritten_tenants.discard(tenant)
        is_unused = lease.is_idle(now) and not lease.claimed_share and not lease.requested_units
        if is_unused and not pending.claimed_share:
            return self._release(now, lease, partition)
        self._schedule(lease)
        return self._grant_changes(now, lease)

    def _release(self, now: int, lease: Lease, partition: PartitionState) -> list[Output]:
        del self.leases[lease.tenant]
        partition.tenants.discard(lease.tenant)
        self._waiting_tenants.discard(lease.tenant)
        outputs = self._grant_changes(now, lease)
        self._last_shares.pop(lease.tenant, None)
        return outputs

    def _on_heartbeat_reply(
        self, now: int, partition: PartitionState, pending: PendingCall, reply: Reply
    ) -> list[Output]:
        detector = partition.detector
        partition.heartbeat_pending = False
        detector.on_reply(now, pending.sent_at_ns, pending.has_value, reply)
        if not pending.has_value and not detector.may_write:
            self._return_from_loss(now, partition)
        elif pending.has_value:
            partition.is_returning = False
            partition.unwritten_tenants.clear()
        elif partition.is_returning and not partition.unwritten_tenants:
            partition.heartbeat_due_ns = now
        outputs = self._review(now, partition)
        return outputs + self._send_due_claims(now)

    def _return_from_loss(self, now: int, partition: PartitionState) -> None:
        """Resumes writing after the counter answered again.

        If others may assume that this gateway is dead, claims for what is used here are written first.
        """
        detector = partition.detector
        detector.may_write = True
        partition.is_returning = not detector.is_known_alive(now)
        partition.unwritten_tenants = set(partition.tenants) if partition.is_returning else set()
        for tenant in partition.unwritten_tenants:
            lease = self.leases[tenant]
            lease.due_ns = now
            self._schedule(lease)
        partition.heartbeat_due_ns = min(partition.heartbeat_due_ns, now + TICK_NS)

    def on_failure(self, now: int, call_id: int) -> list[Output]:
        """Handles a call without a valid reply; the counter may have executed it all the same."""
        pending = self._pending_calls.pop(call_id, None)
        if pending is None:
            return []
        self.call_counts["failed"] += 1
        self.calls_per_s = max(MIN_CALLS_PER_S, self.calls_per_s / 2)
        partition = self.partition_states[pending.call.partition]
        tenant = pending.call.tenant
        if tenant is None:
            partition.heartbeat_pending = False
            partition.detector.on_failure()
            partition.is_returning = False
            return self._review(now, partition)
        self._tenants_in_call.discard(tenant)
        lease = self.leases.get(tenant)
        if lease is None:
            return []
        lease.share_under_proof = 0.0
        lease.due_ns = now + FOLLOW_UP_NS + self._rng.randrange(FOLLOW_UP_NS)
        self._schedule(lease)
        return self._grant_changes(now, lease)

    def _grant_changes(self, now: int, lease: Lease) -> list[Output]:
        """Returns one `Grant` if anything has changed that the decision module acts on."""
        partition = self._partition_of(lease.tenant)
        due_ns = lease.due_ns
        shares = lease.usable_shares(now, partition.detector)
        if lease.due_ns != due_ns and lease.tenant in self.leases:
            self._schedule(lease)
        more_expected = not lease.is_established and self._may_claim(now, partition)
        is_grant_awaited = lease.tenant in self._waiting_tenants and not more_expected
        is_unchanged = _is_unchanged(self._last_shares.get(lease.tenant), shares)
        if is_unchanged and not lease.spent_elsewhere_units and lease.tokens is None and not is_grant_awaited:
            return []
        self._last_shares[lease.tenant] = shares
        if is_grant_awaited:
            self._waiting_tenants.discard(lease.tenant)
        grant = Grant(
            tenant=lease.tenant,
            quota_share=shares.quota,
            hard_limit_share=shares.hard_limit,
            concurrency_share=shares.concurrency,
            spent_elsewhere_units=lease.spent_elsewhere_units,
            tokens=lease.tokens,
            more_expected=more_expected,
        )
        lease.spent_elsewhere_units = 0.0
        lease.tokens = None
        return [grant]

    def states(self, now: int) -> list[str]:
        """Returns each partition's state for operators (`FailureDetector.state`)."""
        for partition in self.partition_states:
            partition.detector.review(now)
        return [partition.detector.state(now) for partition in self.partition_states]


def _is_unchanged(last: UsableShares | None, shares: UsableShares) -> bool:
    """Returns whether the decision module need not be notified of `shares`.

    Any reduction is notified, because the sum over all gateways depends on it; a raise is notified from
    `NOTABLE_CHANGE` on.
    """
    if last is None:
        return False
    pairs = (
        (last.quota, shares.quota),
        (last.hard_limit, shares.hard_limit),
        (last.concurrency, shares.concurrency),
    )
    return all(was - EPSILON <= is_now < was + NOTABLE_CHANGE for was, is_now in pairs)
