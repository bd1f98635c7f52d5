"""Tests transfers of a hard limit between peers: units are requested and moved, but never created."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from trackspread.decide.broker import Broker
from trackspread.decide.actions import Action, SendToPeers, StartAttempt
from trackspread.decide.events import AttemptEnded, Event, Outcome, PeerMessage, TimerFired
from trackspread.decide.settings import Plan
from trackspread.decide.peer_messages import QuotaMessageKind, is_quota_message, unpack_quota_message

from ..helpers import MS, SECOND, arrival, backend, full_list, plan, settings

HARD_LIMITED = plan(
    rate_per_s=8.0,
    burst_units=40.0,
    hard_limit_per_s=10.0,
    hard_limit_burst_units=12.0,
    hard_limit_slack_units=1.2,
)
STEP_NS, GATEWAYS = 20 * MS, 3


class SimulatedFleet:
    """Simulates three gateways, their messages, and an exact bucket of the hard limit for comparison.

    With `duplicates`, a gateway keeps the units that it transfers. Without `transfers`, messages about hard
    limits are dropped.
    """

    def __init__(
        self, seed: int, limits: Plan, transfers: bool = True, duplicates: bool = False, loss: float = 0.0
    ) -> None:
        self.rng, self.limits = random.Random(seed), limits
        self.transfers, self.duplicates, self.loss = transfers, duplicates, loss
        self.brokers = [
            Broker(
                settings(plans=(limits,), gateway_count=GATEWAYS, gateway_index=p, peer_messages_per_s=120.0),
                p,
                0,
            )
            for p in range(GATEWAYS)
        ]
        for module in self.brokers:
            module.handle(0, full_list(*(backend(b) for b in range(6))))
        self.undelivered: list[tuple[int, int, PeerMessage]] = []
        self.now = self.number = self.sent = 0
        self.exact_tokens, self.max_overdraft = limits.hard_limit_burst_units, 0.0

    def step(self) -> None:
        self.now += STEP_NS
        limits = self.limits
        self.exact_tokens = min(
            limits.hard_limit_burst_units, self.exact_tokens + limits.hard_limit_per_s * STEP_NS / SECOND
        )
        due = [each for each in self.undelivered if each[0] <= self.now]
        self.undelivered = [each for each in self.undelivered if each[0] > self.now]
        for _, recipient, message in due:
            self.handle(recipient, message)
        if self.now % (100 * MS) == 0:
            for gateway_index in range(GATEWAYS):
                self.handle(gateway_index, TimerFired(1))

    def send_request(self, gateway_index: int) -> None:
        self.number += 1
        self.handle(gateway_index, arrival(self.number, self.now, gateway_span=GATEWAYS))

    def handle(self, gateway_index: int, event: Event) -> None:
        for action in self.brokers[gateway_index].handle(self.now, event):
            self._apply(gateway_index, action)

    def _apply(self, gateway_index: int, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self.sent, self.exact_tokens = self.sent + 1, self.exact_tokens - 1.0
            self.max_overdraft = max(self.max_overdraft, -self.exact_tokens)
            self.handle(
                gateway_index, AttemptEnded(action.request, True, 0, action.backend, 0, Outcome.OK, MS, 0, ())
            )
        elif isinstance(action, SendToPeers) and (self.transfers or not is_quota_message(action.data)):
            message = unpack_quota_message(action.data)
            if self.duplicates and message is not None and message.kind == QuotaMessageKind.TRANSFER:
                self.brokers[gateway_index].quota.accounts[1].hard_limit_tokens += message.units
            for recipient in range(GATEWAYS) if action.recipient is None else [action.recipient]:
                if recipient != gateway_index and self.rng.random() >= self.loss:
                    arrives_at = self.now + self.rng.randrange(1, 3) * STEP_NS
                    self.undelivered.append((arrives_at, recipient, PeerMessage(gateway_index, action.data)))


def mostly_through_one_gateway(seed: int, transfers: bool = True, loss: float = 0.0) -> SimulatedFleet:
    """Simulates a tenant with 8 requests a second for half a minute, all but two through one gateway."""
    fleet, due = SimulatedFleet(seed, HARD_LIMITED, transfers, loss=loss), SECOND
    while fleet.now < 30 * SECOND:
        fleet.step()
        if fleet.now == SECOND:  # the other gateways get accounts and parts of the limit
            fleet.send_request(1)
            fleet.send_request(2)
        while due <= fleet.now:
            due += SECOND // 8
            fleet.send_request(0)
    return fleet


def flooded_fleet(seed: int, duplicates: bool) -> SimulatedFleet:
    """Simulates far more requests than the hard limit allows, most of them at one gateway at a time."""
    fleet = SimulatedFleet(
        seed, replace(HARD_LIMITED, rate_per_s=60.0, burst_units=200.0), duplicates=duplicates
    )
    while fleet.now < 30 * SECOND:
        fleet.step()
        for gateway_index in range(GATEWAYS):
            if gateway_index == fleet.now // (3 * SECOND) % GATEWAYS or fleet.rng.random() < 0.05:
                fleet.send_request(gateway_index)
    return fleet


def test_tenant_at_one_gateway_gets_full_hard_limit() -> None:
    # Without transfers the gateway has a third of the hard limit, plus its initial units.
    assert mostly_through_one_gateway(1, transfers=False).sent < 0.55 * 8 * 30
    with_transfers = mostly_through_one_gateway(1)
    assert (
        with_transfers.sent > 0.9 * 8 * 29
        and with_transfers.max_overdraft <= HARD_LIMITED.hard_limit_slack_units
    )


@pytest.mark.parametrize("loss", [0.07, 0.5])
@pytest.mark.parametrize("seed", range(3))
def test_transfers_never_exceed_hard_limit(seed: int, loss: float) -> None:
    assert mostly_through_one_gateway(seed, loss=loss).max_overdraft <= HARD_LIMITED.hard_limit_slack_units


def test_mutant_that_duplicates_transferred_units_is_detected() -> None:
    assert (
        max(flooded_fleet(seed, duplicates=False).max_overdraft for seed in range(3))
        <= HARD_LIMITED.hard_limit_slack_units
    )
    assert flooded_fleet(0, duplicates=True).max_overdraft > HARD_LIMITED.hard_limit_slack_units


def test_duplicated_and_foreign_transfers_are_ignored() -> None:
    fleet = SimulatedFleet(1, HARD_LIMITED)
    for gateway_index in range(GATEWAYS):
        fleet.send_request(gateway_index)
    while not any(
        (message := unpack_quota_message(m.data)) and message.kind == QuotaMessageKind.TRANSFER
        for _, _, m in fleet.undelivered
    ):
        fleet.step()
        fleet.send_request(0)
    transfer = next(
        m
        for m in fleet.undelivered
        if (d := unpack_quota_message(m[2].data)) and d.kind == QuotaMessageKind.TRANSFER
    )
    account = fleet.brokers[0].quota.accounts[1]
    account.hard_limit_tokens = 0.0
    fleet.handle(0, PeerMessage(7, transfer[2].data))
    assert account.hard_limit_tokens == 0.0
    fleet.handle(0, transfer[2])
    tokens_after_first = account.hard_limit_tokens
    assert tokens_after_first > 0.0
    fleet.handle(0, transfer[2])
    assert account.hard_limit_tokens == tokens_after_first
