"""The companion bucket, limits on open attempts and ceilings, each over all gateways together.

May know: settings, the accounts, word of peers, homes and the counter, the fleet as the host sees it. May not
know: backends, the model.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import replace
from math import ceil

from .actions import Action, AddToCounter, SendToPeers
from .events import AllocationChanged, CounterAnswered, FleetChanged, Outcome, PeerMessage, PlansChanged
from .settings import Plan, Settings
from .chance import blind_chance
from .peer_messages import (
    MAX_TOTALS,
    QuotaMessage,
    QuotaMessageKind,
    pack_quota_message,
    pack_usage_totals,
    unpack_quota_message,
    unpack_usage_totals,
)
from .rendezvous import home_of
from .decaying_mean import LONG_TERM, SHORT_TERM, DecayingMean
from .tenant_account import TenantAccount, rescaled_tokens
from .time_units import SECOND

Word = tuple[int, bool | None, list[Action]]  # number of the ask answered, the answer, what to send

# Tuned values: unit and reason behind each; times are chosen against aims of the order of a second.
OVERTAKEN = 50  # tenths of a second by which word of a peer may be overtaken by newer word on its way
FRESH = 1 * SECOND  # word of others' use counts in full until this old ...
SILENT = 3 * SECOND  # ... and not at all from here on: their even slices are theirs again
RETURNING = 2 * SECOND  # after a silence, until a peer has told all of its customers: 22 in a message
PACE_UP, PACE_DOWN, PACE_LEAST = 0.01, 0.7, 0.05  # chance of a call to the counter: steps for an answer, none
UNTOLD = 0.4  # chance that a place is free where even slices of a limit on open attempts are under one
COUNTER_LIFE = 60 * SECOND  # a counter name lives this long, the most that may be asked; then names change
LAG = 0.125  # part of a burst by which a counter's number may lag behind a full store before it is put right
OPEN = 10_000.0  # one attempt out, in a counter's number: above all units that a name's life can hold
QUARTER = 0.25  # units in which a store's level is told
LACK_SPAN = SECOND // 2  # a part of a ceiling that lasts for less of the demand is short: over two rounds
KEPT_SPAN = SECOND  # what a part keeps for its own demand when others ask
GIVEN = 0.75  # part of the rest that one ask gets: others may ask too
LACK_MESSAGES = 0.25  # part of the messages that a gateway takes in that asks and what they bring may be
POOLED = 0.75  # part of a ceiling that the home hands out; the rest is in even slices for its silence
TAKEN_OVER = 5 * SECOND  # for which a home's word of a store is good for the next one: askers move in that
OVER_PRICE = 0.05  # of all worth: what units beyond quotas may cost, let through by chance: half its bound
PEERS_MOST = 512  # peers whose last word is kept; the longest silent make room


class Quota:
    """The companion bucket, limits on open attempts and ceilings, over all gateways: where word of all peers
    is fresh each keeps the store; else one home for each customer does, or the counter."""

    def __init__(self, settings: Settings, seed: int, now: int, rng: random.Random) -> None:
        self.settings, self.rng, self.incarnation, self.started_at_ns = settings, rng, seed & 0xFFFF, now
        self.accounts: dict[int, TenantAccount] = {}
        self.reservations: dict[int, tuple[float, float]] = {}  # by customer, on top of rate and burst
        self.peers: dict[int, tuple[int, int, int]] = {}  # incarnation, when last heard, the age told then
        self.returned_peers: dict[
            int, tuple[int, int]
        ] = {}  # when a peer was last heard again, after how long, ns
        self.last_return_ns = now - RETURNING  # when any was
        self.view: FleetChanged | None = None
        self.fleet_version, self.owners_moved = (
            0,
            False,
        )  # taken in so far; whether homes are others than at the start
        self._slot_sets: dict[tuple[int, int], int] = {}  # slots of the customers' sets
        self.has_leases = settings.has_leased_quotas
        self._choose_sharing(1.0)
        told = settings.may_gossip or self.has_leases
        self.uses_counter = settings.has_shared_counter and not told and settings.gateway_count > 1
        self.grant_ratio_by_plan = [DecayingMean(LONG_TERM) for _ in settings.plans]
        self.counter_calls: dict[int, deque[tuple[int, float, bool, float]]] = {}  # ask, amount, fix, owed
        self.last_query, self.counter_call_rate, self.has_restarted, self.next_transfer_request_ns = (
            0,
            1.0,
            False,
            now,
        )
        self.gossiped_at_ns = now  # when peers were last told

    def _choose_sharing(self, room: float) -> None:
        """Whether all tell all of all use, or customers have homes. `room`: over the usual bound."""
        self.gossip_interval_ns = (
            2 * (self.settings.gateway_count - 1) * SECOND / max(1.0, self.settings.peer_messages_per_s)
        )
        self.gossips = self.settings.may_gossip and self.gossip_interval_ns <= room * FRESH // 4
        self.has_owners = self.settings.may_gossip and not self.gossips

    @property
    def is_uninformed(
        self,
    ) -> bool:  # no word (a view brings it), no counter, no meter: nothing of others is known
        return not (
            self.settings.may_gossip
            or self.has_leases
            or self.uses_counter
            or self.settings.metering_period_ns
        )

    def change_fleet(self, now: int, event: FleetChanged) -> None:
        """Another view, or another part of all limits. What is here was filled by the old ones until now."""
        if self.has_leases:
            return  # those say it already, for each customer
        old = self.view
        told = (event.peers, event.quota_owners, event.own_slots, event.peer_slots)
        if old is None or (old.peers, old.quota_owners, old.own_slots, old.peer_slots) != told:
            for account in self.accounts.values():
                self.refill(now, account)
        self.view = event
        if old is not None and event.own_slots & ~old.own_slots:
            for account in self.accounts.values():
                # Nobody tells what those used whose slots are now here.
                own = self._share_of_slots(account, event.own_slots & ~old.own_slots)
                account.unresponsive_units = min(account.unresponsive_units, account.plan.burst_units * own)
        if old is not None and old.own_slots and now >= old.reassigned_at_ns:
            for account in self.accounts.values():  # others have had them meanwhile
                account.hard_limit_tokens, account.static_tokens = (
                    min(0.0, account.hard_limit_tokens),
                    min(0.0, account.static_tokens),
                )
        if old is None or (old.peers, old.quota_owners) != (event.peers, event.quota_owners):
            if old is not None and set(event.peers) - set(old.peers):
                self.last_return_ns = now
            self.fleet_version, self.owners_moved = (
                self.fleet_version + 1,
                self.owners_moved or (old is not None and bool(old.own_slots)),
            )
            self.settings = replace(
                self.settings,
                gateway_count=1 + len(event.peers),
                gateway_index=event.own_number,
                may_gossip=True,
            )
            # Halves of a fleet that parts go on as they were used to, and are as much at one once healed.
            self._choose_sharing(1.0 if self.gossips or old is None else 0.25)

    def own_slots(self, now: int) -> int:
        """That may be acted on here by the view, at this instant."""
        return self.view.own_slots if self.view is not None and now < self.view.valid_until_ns else 0

    def _share_of_slots(self, account: TenantAccount, slots: int) -> float:
        """Of the customer's limits, that these slots are: its set's are all of them."""
        key = account.first_gateway, account.gateway_span
        if (whole := self._slot_sets.get(key)) is None:
            seats, whole = self.view.gateway_slots if self.view is not None else (), 0
            for n in range(account.gateway_span or len(seats)):
                whole |= seats[(account.first_gateway + n) % len(seats)]
            self._slot_sets[key] = whole
        return (slots & whole).bit_count() / max(1, whole.bit_count())

    def static_share(self, now: int, account: TenantAccount) -> float:
        """Of the customer's limits, that is this gateway's whatever others do."""
        if self.view is not None:
            return self._share_of_slots(account, self.own_slots(now))
        return 1.0 / account.static_shares if account.static_shares else 0.0

    def is_cut_off(self, now: int) -> bool:
        """Whether nothing that all share may be acted on here: this gateway has lost its fleet, or has not
        found it yet."""
        return self.view is not None and not self.own_slots(now)

    def _other_gateways(self, account: TenantAccount) -> tuple[int, ...]:
        return account.peers if self.view is None else self.view.peers

    def owner_of(self, account: TenantAccount) -> int:
        if self.view is not None and account.owner_of_view != self.fleet_version:
            account.quota_owner, account.owner_of_view = (
                home_of(account.tenant, self.view.quota_owners),
                self.fleet_version,
            )
            keeps = account.quota_owner == self.view.own_number
            if keeps and not account.is_owner:
                # What was kept here before is of another time; askers tell what the former home had.
                (
                    account.is_taking_over,
                    account.overflow_units,
                    account.unresponsive_units,
                    account.taken_over_at_ns,
                ) = True, 0.0, 0.0, {}
                account.peer_totals, account.queried_at_ns, account.unsettled_grants = {}, {}, {}
            account.is_owner = keeps
        return account.quota_owner

    def account(self, now: int, customer: int, index: int, spread: int = 0, first: int = 0) -> TenantAccount:
        """The customer's account; `spread` is 0 when a peer asks and no request of it came here."""
        account, n = self.accounts.get(customer), self.settings.gateway_count
        if account is None:
            plan = self.plan_of(customer, index)
            # A restarted home knows no store: half of it errs as little either way.
            unknown = self.has_owners and (self.has_restarted or self.owners_moved)
            level = plan.burst_units * (0.5 if unknown else not self.has_leases)
            times, means = (
                (now, now, -SILENT, -SILENT),
                (DecayingMean(SHORT_TERM), DecayingMean(3 * LONG_TERM), DecayingMean(LONG_TERM)),
            )
            account = TenantAccount(customer, plan, index, customer % n, level, *times, *means)
            if self.has_owners and self.is_local(account):
                pooled = plan.hard_limit_slack_units * POOLED + self._unspent_hard_limit(plan)
                account.hard_limit_tokens = pooled * self.local_share(now, account)
            self.accounts[customer] = account
        elif account.plan_index != index:
            self.change_plan(now, account, index)
        if spread >= 1 and not account.static_shares and not self.has_leases:
            n = n if self.view is None else len(self.view.gateway_slots)
            self._assign_static_share(now, account, min(int(spread), n), int(first))
        return account

    def _unspent_hard_limit(self, plan: Plan) -> float:
        """Of a ceiling's part at a home, what a predecessor that ran until just now surely left: it passed on
        a burst of the quota and then the quota's rate at most, as all that it grants is inside the quota."""
        pooled, pays = plan.hard_limit_per_s * POOLED, plan.overage_weight > plan.overage_cost
        within = plan.rate_per_s > 0.0 and not pays and pooled >= plan.rate_per_s
        return max(0.0, plan.hard_limit_burst_units * POOLED - plan.burst_units) * within

    def _assign_static_share(self, now: int, account: TenantAccount, n: int, first: int) -> None:
        """Even slices, started so that all together have no more than the whole, on average. A ceiling's
        starts with its part of the slack alone: a restarted gateway cannot know that it is one."""
        account.first_gateway, account.gateway_span = first, n
        named = [(first + i) % self.settings.gateway_count for i in range(n)] if self.gossips else []
        account.peers = tuple(p for p in named if p != self.settings.gateway_index)
        account.static_shares = n + ((self.settings.gateway_index - first) % self.settings.gateway_count >= n)
        plan, share = account.plan, self.static_share(now, account)
        even = plan.burst_units * share
        account.tokens = even if self.gossips and self.has_restarted else account.tokens
        chance = even / max(self.settings.largest_request_units, 1e-9)
        account.static_tokens = (
            even if chance >= 1.0 else self.settings.largest_request_units * (self.rng.random() < chance)
        )
        account.hard_limit_tokens += (
            plan.hard_limit_slack_units * (1.0 - POOLED if self.has_owners else 1.0) * share
        )

    def change_allocation(self, now: int, event: AllocationChanged) -> None:
        """The stores are filled by the old shares until now. A store that is new here has filled since this
        gateway's start: whatever a former one spent, its rights went with it."""
        fresh, account = event.tenant not in self.accounts, self.account(now, event.tenant, event.plan)
        if fresh:
            account.refilled_at_ns, account.quota_share, account.hard_limit_share = (
                self.started_at_ns,
                event.quota_share,
                event.hard_limit_share,
            )
        self.refill(now, account)
        plan, account.quota_share, account.hard_limit_share, account.more_expected = (
            account.plan,
            event.quota_share,
            event.hard_limit_share,
            event.more_expected,
        )
        account.concurrency_share, level = (
            event.concurrency_share,
            account.tokens if event.tokens is None else event.tokens,
        )
        # What others took came out of what found the store full here: it was not full for all of the time.
        taken = max(0.0, event.used_elsewhere_units - account.overflow_units)
        account.overflow_units *= not event.used_elsewhere_units
        account.tokens = max(-plan.burst_units, min(plan.burst_units, level) - taken)
        account.hard_limit_tokens = min(
            plan.hard_limit_burst_units * event.hard_limit_share, account.hard_limit_tokens
        )

    def change_plans(self, now: int, event: PlansChanged) -> None:
        """Other figures from now on, in every store that is kept here."""
        self.settings = replace(self.settings, plans=event.plans)
        self.reservations = {customer: (rate, burst) for customer, rate, burst in event.reserved}
        for account in self.accounts.values():
            self.change_plan(now, account, account.plan_index)

    def plan_of(self, customer: int, index: int) -> Plan:
        """The plan's, and what the customer has reserved on top; a ceiling rises with its quota."""
        plan, (rate, burst) = self.settings.plans[index], self.reservations.get(customer, (0.0, 0.0))
        if not rate:
            return plan
        quota, ceiling = plan.rate_per_s > 0.0, plan.hard_limit_per_s > 0.0
        return replace(
            plan,
            rate_per_s=plan.rate_per_s + rate * quota,
            burst_units=plan.burst_units + burst * quota,
            hard_limit_per_s=plan.hard_limit_per_s + rate * ceiling,
            hard_limit_burst_units=plan.hard_limit_burst_units + burst * ceiling,
        )

    def change_plan(self, now: int, account: TenantAccount, index: int) -> None:
        """The customer's stores go over to the figures of plan `index`, filled by the old ones until now. A
        level is kept as a share of a burst that falls, as units of one that rises: never a gift."""
        self.refill(now, account)
        old, new = account.plan, self.plan_of(account.tenant, index)
        account.plan, account.plan_index = new, index
        account.tokens = rescaled_tokens(account.tokens, old.burst_units, new.burst_units)
        account.static_tokens = rescaled_tokens(account.static_tokens, old.burst_units, new.burst_units)
        account.hard_limit_tokens = rescaled_tokens(
            account.hard_limit_tokens, old.hard_limit_burst_units, new.hard_limit_burst_units
        )

    def local_share(self, now: int, account: TenantAccount) -> float:
        """Part of the quota that counts as here: the whole while word of others' use is fresh, as that is
        taken off when told. The slice of whoever is silent ages back to him."""
        slices = max(1, account.static_shares)
        if self.has_leases:
            return account.quota_share
        if self.view is not None:
            view, own = self.view, self.static_share(now, account)
            if self.gossips:
                others = zip(view.peers, view.peer_slots, strict=True)
                heard = [(slots, self.peers[p][1]) for p, slots in others if p in self.peers]
                widths = (
                    self._share_of_slots(account, slots) * self._freshness(now, at) for slots, at in heard
                )
                return min(1.0, own + sum(widths))
            theirs = 0
            for slots in view.peer_slots:
                theirs |= slots
            near = self.is_local(account) or self._freshness(now, account.tokens_known_at_ns)
            return min(1.0, own + near * self._share_of_slots(account, theirs & ~self.own_slots(now)))
        if self.is_local(account) and not self.gossips:
            return 1.0
        told = [self.peers.get(p, (0, self.started_at_ns - FRESH, 0))[1] for p in account.peers] or [
            account.tokens_known_at_ns
        ]
        fresh = sum(self._freshness(now, at) for at in told) / len(told)
        return (1.0 + fresh * (slices - 1)) / slices

    @staticmethod
    def _freshness(now: int, at: int) -> float:
        """How far word of this age counts."""
        return min(1.0, max(0.0, (SILENT - now + at) / (SILENT - FRESH)))

    def is_local(self, account: TenantAccount) -> bool:
        near = self.gossips or self.has_leases or account.static_shares == 1
        return self.owner_of(account) == self.settings.gateway_index if self.has_owner(account) else near

    def has_owner(self, account: TenantAccount) -> bool:
        """Whether one home grants for all: places among a few are gone before all could tell all."""
        return self.has_owners or (self.gossips and account.plan.concurrency_limit > 0)

    def refill(self, now: int, account: TenantAccount) -> None:
        dt, account.refilled_at_ns = (now - account.refilled_at_ns) / SECOND, now
        if self.is_cut_off(now):
            # What is here stays as it is until something may be acted on again; all else is others'.
            room = account.plan.burst_units - account.tokens
            account.unresponsive_units = min(room, account.unresponsive_units + account.plan.rate_per_s * dt)
            return
        near = self.has_owners and self.is_local(account)
        shared = self.gossips or self.has_leases or (near and self.view is not None)
        plan, share = account.plan, self.local_share(now, account) if shared else 1.0
        even = self.static_share(now, account)
        most = plan.burst_units * share
        if dt and self.has_leases:
            most = max(most, account.tokens)  # a share that falls takes no units along: what is filled stays
            over = account.tokens + plan.rate_per_s * share * dt - most
            account.overflow_units = min(
                plan.rate_per_s, account.overflow_units + max(0.0, over)
            )  # of a second: words come sooner
        if dt:
            before, account.tokens = account.tokens, min(most, account.tokens + plan.rate_per_s * share * dt)
            if self.has_owners or (share < 1.0 and self.gossips):
                account.overflow_units += plan.rate_per_s * dt - (account.tokens - before)
            if share < 1.0 and not self.has_leases:
                grown = (
                    account.unresponsive_units
                    + plan.rate_per_s * (1.0 - share) * dt
                    + max(0.0, before - most)
                )
                account.unresponsive_units = min(plan.burst_units - account.tokens, grown)
            elif account.unresponsive_units and now - self.last_return_ns >= RETURNING:
                # All are heard again, and have told what they used: the rest is there to be used.
                account.tokens = min(most, account.tokens + account.unresponsive_units)
                account.unresponsive_units = 0.0
        account.static_tokens = min(
            max(plan.burst_units * even, self.settings.largest_request_units),
            account.static_tokens + plan.rate_per_s * even * dt,
        )
        even = (1.0 - POOLED) * even + POOLED * near * share if self.has_owners else even
        even = account.hard_limit_share if self.has_leases else even
        account.hard_limit_tokens = min(
            plan.hard_limit_burst_units * even, account.hard_limit_tokens + plan.hard_limit_per_s * even * dt
        )

    def has_capacity(self, now: int, account: TenantAccount, units: float) -> bool:
        """The ceiling's slice, and open attempts: others' count while word is new, else an even slice."""
        limit, told = account.plan.concurrency_limit, now - account.in_flight_known_at_ns < FRESH // 4
        own = self.static_share(now, account) or (self.view is None)
        most = ceil(limit * (1.0 if told else own) - 1e-9)
        most = int(limit * account.concurrency_share + 1e-6) if self.has_leases else most
        few = not limit or account.in_flight + told * account.in_flight_elsewhere < most
        if limit and (self.gossips or (self.has_owners and self.is_local(account))):
            others = sum(out for out, at in account.peers_in_flight.values() if now - at < SILENT)
            few = account.in_flight + others < limit * self.local_share(now, account)
        limited = account.plan.rate_per_s or limit or account.plan.hard_limit_per_s
        return (
            few
            and (not account.plan.hard_limit_per_s or account.hard_limit_tokens >= units)
            and not (limited and self.is_cut_off(now))
        )

    def count_attempts(self, account: TenantAccount, more: int) -> None:
        """An attempt of the customer's is out, or over."""
        account.in_flight += more
        if account.plan.concurrency_limit:
            account.announcements_due = 3

    def request_transfer(self, now: int, account: TenantAccount) -> list[Action]:
        """Ask a peer for some of its part of a ceiling that runs short here. Parts are even while demand is
        not: a customer that comes through one gateway would get that one's part alone."""
        plan, demand = account.plan, account.demand
        others = self._other_gateways(account)
        if self.view is not None:  # who has none of it can give none
            theirs = zip(others, self.view.peer_slots, strict=True)
            others = tuple(peer for peer, slots in theirs if self._share_of_slots(account, slots))
        if not (self.gossips and plan.hard_limit_per_s and others) or now < self.next_transfer_request_ns:
            return []
        most = plan.hard_limit_burst_units * self.static_share(now, account)
        if account.hard_limit_tokens >= min(
            most / 2, demand.rate_per_s(now) * demand.value * LACK_SPAN / SECOND
        ):
            return []
        # Each ask is one message to a peer, and brings one at most.
        self.next_transfer_request_ns = now + int(
            2 * SECOND / max(1.0, LACK_MESSAGES * self.settings.peer_messages_per_s)
        )
        self.last_query = account.transfer_request = self.last_query + 1 & 0xFFFFFFFF
        to = others[self.last_query % len(others)]
        return [
            self._message_to(
                now,
                to,
                account,
                QuotaMessageKind.TRANSFER_REQUEST,
                most - account.hard_limit_tokens,
                self.last_query,
            )
        ]

    def _transfer(self, now: int, sender: int, draw: QuotaMessage) -> list[Action]:
        """A peer asks for some of the part here, or gives of its own. What is given has left that part
        before it is told, and no part ever holds more than its even one: together they never hold more than
        the ceiling."""
        account = self.accounts.get(draw.tenant)
        if account is None and self.view is not None:
            account = self._account_of_message(now, draw)  # by the view it may have slots here
        if account is None or account.plan_index != draw.plan or sender not in self._other_gateways(account):
            return []
        self.refill(now, account)
        if draw.kind == QuotaMessageKind.TRANSFER and draw.tag == account.transfer_request:
            account.transfer_request = 0  # a second copy of it is none
            most = account.plan.hard_limit_burst_units * self.static_share(now, account)
            account.hard_limit_tokens = min(most, account.hard_limit_tokens + draw.units)
        if draw.kind != QuotaMessageKind.TRANSFER_REQUEST:
            return []
        own = account.demand.rate_per_s(now) * account.demand.value * KEPT_SPAN / SECOND
        spare = GIVEN * (account.hard_limit_tokens - max(self.settings.largest_request_units, own))
        given = QUARTER * int(min(draw.units, spare) / QUARTER)
        if given <= 0.0:
            return []
        account.hard_limit_tokens -= given
        return [self._message_to(now, sender, account, QuotaMessageKind.TRANSFER, given, draw.tag)]

    def is_known_spent(self, account: TenantAccount, units: float) -> bool:
        """Whether the home's last word, and what filled its store since, fall short of these units: others
        can only have taken more. Not to ask then spares a home whose customer asks more than it can hear."""
        told = (
            self.has_owners
            and account.plan.rate_per_s > 0.0
            and account.tokens_known_at_ns > self.started_at_ns
        )
        return told and account.tokens + QUARTER / 2 < units

    def missing_limit(self, now: int, account: TenantAccount, units: float) -> str:
        """Which limit does not let these units through here, for people."""
        if self.is_cut_off(now):
            return "fleet"
        if account.plan.hard_limit_per_s and account.hard_limit_tokens < units:
            return "ceiling"
        return "quota" if self.has_capacity(now, account, units) else "open limit"

    def spend(self, account: TenantAccount, units: float, pays: bool) -> bool:
        within = not account.plan.rate_per_s or account.tokens >= units
        if not (within or pays) or (account.plan.hard_limit_per_s and account.hard_limit_tokens < units):
            return False
        account.hard_limit_tokens -= units
        if within and account.plan.rate_per_s:
            account.tokens, account.announcements_due = account.tokens - units, 3
            account.count_forwarded(units)
        return True

    def spend_without_answer(self, now: int, account: TenantAccount, units: float) -> bool:
        """Without the store's word: by the even slice, else by chance, as home, counter or meter lately said
        of this customer, or else of its plan. That ages away, and even slices are left."""
        if self.has_leases or self.gossips:
            return self.has_capacity(now, account, units) and self.spend(account, units, False)
        if self.is_uninformed:
            return self._spend_uninformed(now, account, units)
        usual, even = (
            self.grant_ratio_by_plan[account.plan_index].blend(now, 0.0, 0.1),
            account.static_tokens >= units,
        )
        # Seen here more than its even slice, beyond the one request that says nothing, a customer is busy.
        seen, one = (
            account.long_term_demand.rate_per_s(now) * account.long_term_demand.value,
            units * SECOND / LONG_TERM,
        )
        own = self.static_share(now, account) or (self.view is None)
        fits = min(1.0, (account.plan.rate_per_s * own + 2 * one) / (seen + one))
        fits *= UNTOLD if account.plan.concurrency_limit else 1.0
        lucky = even or self.rng.random() < account.grant_ratio.blend(now, usual, 0.5) * fits
        if not lucky or not self.has_capacity(now, account, units):
            return False
        account.static_tokens -= units * even
        account.hard_limit_tokens -= units
        if self.view is not None:  # by what was told, if the next home is to hear of it
            account.tokens = max(0.0, account.tokens - units)
        return True

    def _spend_uninformed(self, now: int, account: TenantAccount, units: float) -> bool:
        """Where nobody is ever heard: by the even slice, which one request by chance may overdraw. What goes
        beyond the quota is thus one request for each gateway at most, and is filled up again. The more
        requests the slice pays for of itself, the less it takes chance that some other gateway's goes
        unused."""
        plan, span = account.plan, min(LONG_TERM, now - self.started_at_ns) / SECOND
        limited, owed = (
            plan.rate_per_s or plan.concurrency_limit or plan.hard_limit_per_s,
            units - account.static_tokens,
        )
        largest = max(self.settings.largest_request_units, units)
        paid = (plan.burst_units + plan.rate_per_s * span) * self.static_share(now, account) / largest
        chance = blind_chance(plan.overage_cost, OVER_PRICE) * (1.0 + paid) if plan.rate_per_s else 1.0
        chance *= UNTOLD if plan.concurrency_limit else 1.0
        lucky = not limited or owed <= 0.0 or (owed <= largest and self.rng.random() < chance)
        if not lucky or not self.has_capacity(now, account, units):
            return False
        account.static_tokens -= units if plan.rate_per_s else 0.0
        account.hard_limit_tokens -= units
        return True

    def learn_tokens(self, now: int, account: TenantAccount, level: float, granted: bool) -> None:
        account.tokens, account.tokens_known_at_ns = level, now
        account.grant_ratio.add(now, float(granted))
        self.grant_ratio_by_plan[account.plan_index].add(now, float(granted))

    def query(
        self, now: int, account: TenantAccount, units: float, kind: QuotaMessageKind
    ) -> tuple[int, Action]:
        self.last_query = self.last_query + 1 & 0xFFFFFFFF
        if self.has_owner(account):
            action = self._message_to(now, self.owner_of(account), account, kind, units, self.last_query)
            account.pending_queries += kind == QuotaMessageKind.REQUEST
            return self.last_query, action
        # While not all are counted, each that is stands for those that are not.
        amount = units / self.counter_call_rate + self.counter_weight(account)
        return self.last_query, self.call_counter(
            now, account, amount, self.last_query * (kind == QuotaMessageKind.REQUEST)
        )

    def _message_to(
        self, now: int, to: int, account: TenantAccount, kind: QuotaMessageKind, units: float, tag: int
    ) -> Action:
        age = (now - self.started_at_ns) * 10 // SECOND
        out = (account.in_flight + account.pending_queries) * (account.plan.concurrency_limit > 0)
        draw = QuotaMessage(
            kind,
            account.tenant,
            account.plan_index,
            units,
            tag,
            age,
            account.forwarded_quarter_units,
            in_flight=out,
        )
        if self.view is not None:  # whoever keeps slots has to know which of them are the customer's
            teller = account.tokens_reported_by * (now - account.tokens_known_at_ns < TAKEN_OVER)
            draw = draw._replace(
                first_gateway=account.first_gateway,
                gateway_span=account.gateway_span,
                tokens=max(0.0, account.tokens),
                tokens_reported_by=teller,
            )
        return SendToPeers(to, pack_quota_message(draw))

    def _account_of_message(self, now: int, draw: QuotaMessage) -> TenantAccount:
        account = self.account(now, draw.tenant, draw.plan)
        if draw.gateway_span and not account.gateway_span and self.view is not None:
            seats = len(self.view.gateway_slots)
            account.first_gateway, account.gateway_span = (
                draw.first_gateway % seats,
                min(draw.gateway_span, seats),
            )
        return account

    def _take_over(self, now: int, account: TenantAccount, sender: int, draw: QuotaMessage) -> None:
        """The asker comes from another home, whose store goes into the one here, once: each kept what was its
        side's, and what its askers used was taken off there."""
        account.peer_totals.pop(sender, None)
        account.queried_at_ns.pop(sender, None)
        account.unsettled_grants.pop(sender, None)
        if now - account.taken_over_at_ns.get(draw.tokens_reported_by, now - TAKEN_OVER) >= TAKEN_OVER:
            here, most = (
                account.tokens * (not account.is_taking_over),
                account.plan.burst_units * self.local_share(now, account),
            )
            account.tokens, account.unresponsive_units = min(most, here + draw.tokens), 0.0
        account.taken_over_at_ns[draw.tokens_reported_by] = now

    def receive_quota_message(self, now: int, event: PeerMessage) -> Word:
        """Word with a home, either way, or of ceilings between equals: the number of the ask it answers, the
        answer, what to send."""
        draw = unpack_quota_message(event.data)
        if draw is None or draw.plan >= len(self.settings.plans):
            return 0, None, []
        if draw.kind in (QuotaMessageKind.TRANSFER_REQUEST, QuotaMessageKind.TRANSFER):
            return 0, None, self._transfer(now, event.sender, draw) if self.gossips else []
        self._note_age(now, draw.age_tenths_s)
        if draw.kind in (QuotaMessageKind.GRANT, QuotaMessageKind.DENY):
            if (mine := self.accounts.get(draw.tenant)) and self.has_owners:
                self.refill(now, mine)
                self.learn_tokens(now, mine, draw.units, draw.kind == QuotaMessageKind.GRANT)
                mine.tokens_reported_by = event.sender
            return draw.tag, draw.kind == QuotaMessageKind.GRANT, []
        account = self._account_of_message(now, draw)
        if not self.is_local(account):
            return 0, None, []
        self.refill(now, account)
        if draw.tokens_reported_by not in (0, self.settings.gateway_index):
            self._take_over(now, account, event.sender, draw)
        account.is_taking_over, account.last_request_ns = False, now
        account.peers_in_flight[event.sender] = draw.in_flight, now
        if draw.kind == QuotaMessageKind.RELEASED:
            return 0, None, []
        pays = account.plan.overage_weight > account.plan.overage_cost
        if not pays and draw.kind == QuotaMessageKind.REQUEST and self.has_owners:
            self._settle_grants(now, account, event.sender, draw.forwarded_quarter_units)
        room = not account.plan.concurrency_limit or pays or self.has_capacity(now, account, draw.units)
        kind = (
            QuotaMessageKind.GRANT
            if room and self.spend(account, draw.units, pays)
            else QuotaMessageKind.DENY
        )
        if kind == QuotaMessageKind.GRANT:
            account.peers_in_flight[event.sender] = draw.in_flight + 1, now
            account.unsettled_grants[event.sender] = (
                account.unsettled_grants.get(event.sender, (0.0, 0))[0] + draw.units,
                now,
            )
        word = self._message_to(now, event.sender, account, kind, account.tokens, draw.tag)
        return 0, None, [word] * (draw.kind == QuotaMessageKind.REQUEST)

    @staticmethod
    def _deduct_use_elsewhere(account: TenantAccount, units: float, silence: int) -> None:
        """Taken off the store here, also below nothing, or two gateways would both spend the same refill.
        What was used in a `silence` of so many ns (0: heard all along) comes off that time's refill first, as
        far as that never was in the store here; what both sides spent beyond it is spent: to save it up
        serves nobody."""
        floor = -account.plan.burst_units
        if silence:
            less, floor = min(units, account.overflow_units, account.plan.rate_per_s * silence / SECOND), 0.0
            account.overflow_units, units = account.overflow_units - less, units - less
            account.unresponsive_units = max(0.0, account.unresponsive_units - less - units)
        account.tokens = min(account.tokens, max(floor, account.tokens - units))

    def _settle_grants(self, now: int, account: TenantAccount, sender: int, taken: int) -> None:
        """Grants whose answer was lost count once its asker tells of what it took; what it took beyond all
        grants, alone, is taken off the store; and a grant that nobody took for long goes back into it."""
        last, (given, at) = (
            account.peer_totals.get(sender, taken),
            account.unsettled_grants.get(sender, (0.0, now)),
        )
        grown = (taken - last) & 0xFFFF
        used = (grown if grown < 0x8000 else taken) / 4  # one that went back has begun anew
        rest = max(0.0, given - used)
        if rest and now - at > FRESH:
            account.tokens, rest = min(account.plan.burst_units, account.tokens + rest), 0.0
        silence = now - account.queried_at_ns.get(
            sender, now
        )  # a short one may be chance where messages get lost
        self._deduct_use_elsewhere(account, max(0.0, used - given), silence * (silence > SILENT))
        account.queried_at_ns[sender] = now
        account.peer_totals[sender], account.unsettled_grants[sender] = taken, (rest, at)

    def call_counter(
        self, now: int, account: TenantAccount, amount: float, tag: int = 0, fix: bool = False
    ) -> Action:
        name = account.tenant << 16 | (now // COUNTER_LIFE) & 0xFFFF
        self.counter_calls.setdefault(name, deque()).append(
            (tag, amount, fix, account.counter_correction_units)
        )
        amount, account.counter_correction_units = amount + account.counter_correction_units, 0.0
        return AddToCounter(name, COUNTER_LIFE, amount)

    def release(self, now: int, account: TenantAccount) -> list[Action]:
        """Nothing of a request that was counted as out elsewhere is out any more."""
        if self.counter_weight(account):
            return [self.call_counter(now, account, -OPEN)]
        if not account.plan.concurrency_limit or not self.has_owner(account) or self.is_local(account):
            return []
        return [self._message_to(now, self.owner_of(account), account, QuotaMessageKind.RELEASED, 0.0, 0)]

    def counter_weight(self, account: TenantAccount) -> float:
        """What an attempt out adds to the counter's number where a plan limits how many may be."""
        return OPEN * (self.uses_counter and account.plan.concurrency_limit > 0)

    def receive_counter_answer(self, now: int, event: CounterAnswered) -> Word:
        """The counter's answer. Its number stands for a store: what was taken since its name began, and the
        attempts out. When the store was full for a while (the number lags behind the fill) it is put right;
        who finds that another did so first takes it back."""
        queue, account = self.counter_calls.get(event.key), self.accounts.get(event.key >> 16)
        if not queue or account is None:
            return 0, None, []
        tag, amount, fix, owed = queue.popleft()
        if event.outcome is not Outcome.OK:
            # A crowded counter answers nobody: fewer calls from here, and slowly more once it answers.
            self.counter_call_rate = max(PACE_LEAST, self.counter_call_rate * PACE_DOWN)
            if event.outcome is Outcome.TIMEOUT:
                account.counter_correction_units -= self.counter_weight(account) * (
                    tag > 0
                )  # surely added late, and nobody holds it
            else:
                account.counter_correction_units += owed + amount * (
                    not tag and not fix
                )  # known not to have been added
            return tag, None, []
        self.counter_call_rate = min(1.0, self.counter_call_rate + PACE_UP)
        plan, place, before = account.plan, self.counter_weight(account), event.total - amount
        out = (before + OPEN / 2) // OPEN if place else 0.0
        surplus = plan.rate_per_s * ((now - event.elapsed_ns) % COUNTER_LIFE) / SECOND - (before - out * OPEN)
        level, units = min(plan.burst_units, plan.burst_units + surplus), amount - place
        self.refill(now, account)
        if fix or amount <= 0:
            return 0, None, [self.call_counter(now, account, -amount)] if fix and surplus < amount / 2 else []
        room = not plan.rate_per_s or level >= min(units, plan.burst_units / 2)
        granted, calls = room and (not place or out < plan.concurrency_limit), []
        account.in_flight_known_at_ns, account.in_flight_elsewhere = now, max(0, int(out) - account.in_flight)
        if not granted and (tag or plan.overage_weight > plan.overage_cost):
            calls.append(self.call_counter(now, account, -amount))
        elif surplus * self.counter_call_rate > plan.burst_units * LAG:
            calls.append(self.call_counter(now, account, surplus, 0, True))
        self.learn_tokens(now, account, level - units * granted, granted)
        return tag, granted, calls

    def usage_message(self, now: int) -> bytes:
        """Running totals, so that a lost message costs nothing once the next one comes."""
        telling = [
            a for a in self.accounts.values() if a.announcements_due and (a.peers or self.view is not None)
        ]
        telling.sort(key=lambda a: (-a.announcements_due, a.tenant))
        for account in telling[:MAX_TOTALS]:
            account.announcements_due -= 1
        totals = ((a.tenant, a.forwarded_quarter_units, a.in_flight) for a in telling[:MAX_TOTALS])
        return pack_usage_totals(self.incarnation, (now - self.started_at_ns) * 10 // SECOND, totals)

    def _note_age(self, now: int, age: int) -> bool:
        """An older peer shows that this gateway came back: the stores are not full as on a first day."""
        older = age * SECOND // 10 > now - self.started_at_ns + SECOND
        if older and not self.has_restarted:
            self.has_restarted = True
            for mine in self.accounts.values():
                own = 0.5 if self.has_owners else self.static_share(now, mine) or 1.0
                mine.tokens = min(mine.tokens, mine.plan.burst_units * own)
        return older

    def receive_usage_totals(self, now: int, event: PeerMessage) -> None:
        if (word := unpack_usage_totals(event.data)) is None:
            return
        last_word = self.peers.get(event.sender, (-1, 0, 0))
        known = last_word[0] == word[0]
        if known and 0 < last_word[2] - word[1] <= OVERTAKEN:
            return  # newer word came before it: its totals are older than those that are known
        if known and now - last_word[1] > FRESH:
            self.returned_peers[event.sender], self.last_return_ns = (now, now - last_word[1]), now
        back, silence = self.returned_peers.get(event.sender, (0, 0))
        self.peers[event.sender] = word[0], now, word[1]
        if len(self.peers) > PEERS_MOST:
            oldest = min(self.peers, key=lambda peer: self.peers[peer][1])
            del self.peers[oldest]
            self.returned_peers.pop(oldest, None)
        if not known:  # restarted: it counts from nothing, for each customer whenever first told
            for each in self.accounts.values():
                each.peer_totals.pop(event.sender, None)
                each.peers_in_flight.pop(event.sender, None)
        older = self._note_age(now, word[1])
        for customer, sent, out in word[2]:
            account = self.accounts.get(customer)
            if account is None:
                continue
            last = account.peer_totals.get(event.sender) if known else None
            # A home hears of what it granted by draws, and of what went out without its answer thus alone.
            if not self.is_local(account) or out > account.peers_in_flight.get(event.sender, (0, now))[0]:
                account.peers_in_flight[event.sender] = out, now
            self.refill(now, account)
            used = min(sent / 4, account.plan.burst_units) * (not older)
            grown = 0x8000 if last is None else (sent - last) & 0xFFFF
            # A total that went back was begun anew, after the peer had forgotten the account.
            used = used if grown >= 0x8000 else grown / 4
            self._deduct_use_elsewhere(account, used, silence * (now - back < RETURNING))
            account.peer_totals[event.sender] = sent
