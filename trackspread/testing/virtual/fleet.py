"""A whole fleet in virtual time: hosts, network, rating nodes, the list, clients; all of it into a ledger.

May know: everything about its world; faults are plain attributes that a schedule sets. May not know: what the
module decides or why.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from ...config.platform import flatten
from ...decide.backends import Backend, EndpointUpdate, EndpointUpdateKind, Health
from ...decide.events import Outcome
from ...decide.settings import Settings
from ..judge.ledger import (
    ReplyReceived,
    RequestSent,
    AttemptReceived,
    BackendStarted,
    ConnectionLost,
    BackendCrashed,
    GatewayKilled,
    Ledger,
    ClientDisconnected,
    GatewayStarted,
    EndpointAnnounced,
)
from ...lists.seam import backend_id
from ...simulator.wire import parse_settings
from ..standins.client_population import ClientRequest
from ..standins.rating_node import NodeSpec, IdempotencyCache, RatingNode, request_work_ns
from ..standins.scenario import MILLISECOND, ZONES, Scenario
from .clock import Clock
from .host import Attempt, Host, Kind

WITNESS = 200 * MILLISECOND  # for which a client looks on after its time, to see an answer that is late
CONNECTS = 3  # gateways that a client tries in turn
LATE_UP = 250 * MILLISECOND  # a connection that takes longer is given up, as the settings have it


@dataclass(slots=True)
class NetworkConditions:
    """The network's state. One-way delays in ns; chances from 0 to 1."""

    least: int = 200_000
    most: int = 2 * MILLISECOND
    peer_loss: float = 0.02
    peer_twice: float = 0.0
    peer_delay: int = 0  # ns more, at most, for messages between gateways: they overtake one another
    reset: float = 0.0  # chance that an attempt is reset once it has come whole
    late_up: float = 0.0  # chance that a connection comes up late, by `LATE_UP` at most
    unwritten: float = 0.0  # chance that a connection breaks before the request's last byte is out
    list_delay: int = 300 * MILLISECOND  # at most, for news of the list


@dataclass(slots=True, eq=False)
class Node:
    """A rating node and what the list says of it."""

    spec: NodeSpec
    model: RatingNode
    id: int
    entry: Backend
    up: bool = True
    silent: bool = False  # takes what comes and says nothing
    out: dict[Attempt, Host] = field(default_factory=dict)


class VirtualFleet:
    """Make it, put happenings on its clock, `run` it, and hand its ledger to the judge."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.rng = scenario, random.Random(f"virtual:{seed}")
        self.clock = Clock()
        self.ledger = Ledger()
        self.conditions = NetworkConditions()
        self.population = replace(scenario, seed=seed).population()
        self._settings = [_settings(scenario, position) for position in range(scenario.gateways)]
        self._classes = {c.name: number for number, c in enumerate(scenario.classes)}
        self._plans = {name: number for number, name in enumerate(scenario.world().plans)}
        self._windows = {
            c.name: scenario.deduplication_window_ns for c in scenario.classes if c.repeat == "keyed"
        }
        self._asked: dict[str, tuple[str, str]] = {}  # each request's class and key
        self.apart: set[frozenset[int]] = set()  # pairs of gateways that don't hear one another
        self.pods: dict[int, IdempotencyCache] = {}
        self.nodes: dict[int, Node] = {}
        self.version = 1
        for spec in scenario.node_specs():
            self.boot(spec, cold=False, tell=False)
        self.hosts: list[Host | None] = [None] * scenario.gateways
        self._known: list[tuple[Backend, ...]] = [()] * scenario.gateways
        self._list_at = [0] * scenario.gateways  # when the last news reaches each: news comes in order
        self._open: list[dict[str, Callable[[], None]]] = [{} for _ in range(scenario.gateways)]
        for position in range(scenario.gateways):
            self.start(position)
        self._arrive()

    def run(self, span: int) -> None:
        """`span` ns of happenings, and then so long as requests may still be under way."""
        end = self.clock.now + span
        self.clock.at(end, self._stop_asking)
        self.clock.run(end + max(c.deadline_ns for c in self.scenario.classes) + WITNESS)

    def _stop_asking(self) -> None:
        self.population.rate_multiple = 0.0

    def _delay(self) -> int:
        return self.rng.randint(self.conditions.least, self.conditions.most)

    # Gateways.

    def start(self, position: int) -> None:
        """A gateway starts from nothing but the list that it last had."""
        if self.hosts[position] is not None:
            return
        seed = self.rng.getrandbits(48)
        host = self.hosts[position] = Host(self.clock, self, position, self._settings[position], seed)
        self._list_at[position] = 0
        known = self._known[position] or self._entries()
        host.learn(EndpointUpdate(EndpointUpdateKind.CACHED, 0, known))
        self._news(host, EndpointUpdateKind.FULL, self._entries())
        self.ledger.write(GatewayStarted(self.clock.now, f"n{position}"))

    def kill(self, position: int) -> None:
        """Outright: what it held is the clients' to retry."""
        host = self.hosts[position]
        if host is None:
            return
        host.alive = False
        self.hosts[position] = None
        self.ledger.write(GatewayKilled(self.clock.now, f"n{position}"))
        for cut in list(self._open[position].values()):
            cut()
        self._open[position].clear()

    # The list.

    def _entries(self) -> tuple[Backend, ...]:
        return tuple(node.entry for node in self.nodes.values() if node.entry.health is not Health.REMOVED)

    def _change(self, node: Node, health: Health) -> None:
        self.version += 1
        node.entry = replace(node.entry, health=health)
        for host in self.hosts:
            if host is not None:
                self._news(host, EndpointUpdateKind.DELTA, (node.entry,))

    def _news(self, host: Host, kind: EndpointUpdateKind, entries: tuple[Backend, ...]) -> None:
        position, version = host.position, self.version
        wait = self.rng.randint(MILLISECOND, self.conditions.list_delay)
        at = self._list_at[position] = max(self._list_at[position], self.clock.now + wait)
        self.clock.at(at, partial(self._told, host, kind, version, entries))

    def _told(self, host: Host, kind: EndpointUpdateKind, version: int, entries: tuple[Backend, ...]) -> None:
        if not host.alive:
            return
        names = {entry.id: entry.health is Health.READY for entry in entries}
        for node in self.nodes.values():
            if node.id in names or kind is EndpointUpdateKind.FULL:
                self.ledger.write(
                    EndpointAnnounced(
                        self.clock.now, f"n{host.position}", node.spec.name, names.get(node.id, False)
                    )
                )
        known = (
            {}
            if kind is EndpointUpdateKind.FULL
            else {entry.id: entry for entry in self._known[host.position]}
        )
        known.update({entry.id: entry for entry in entries})
        self._known[host.position] = tuple(e for e in known.values() if e.health is not Health.REMOVED)
        host.learn(EndpointUpdate(kind, version, entries))

    # Rating nodes.

    def boot(self, spec: NodeSpec, cold: bool, tell: bool = True) -> Node:
        now, number = self.clock.now, backend_id(spec.name)
        model = self.scenario.rating_node(spec, self.pods, now, cold)
        entry = Backend(number, ZONES.index(spec.zone), 0, spec.cell, Health.READY, 1.0, now if cold else 0)
        node = self.nodes[number] = Node(spec, model, number, entry)
        start = spec.initial_capacity if cold else 1.0
        cores = spec.cores * spec.speed
        self.ledger.write(BackendStarted(now, spec.name, spec.zone, spec.cell, cores, start, spec.warm_up_ns))
        if tell:
            self._change(node, Health.READY)
        return node

    def drain(self, node: Node) -> None:
        node.model.draining = True
        self._change(node, Health.DRAINING)

    def down(self, node: Node) -> None:
        """The process dies: what is out there is reset, and new connections are refused."""
        node.up = False
        for attempt, host in list(node.out.items()):
            self._finish(node, attempt, host, Outcome.RESET)

    def remove(self, node: Node) -> None:
        self.down(node)
        self._change(node, Health.REMOVED)

    def _fall(self, node: Node) -> None:
        self.ledger.write(BackendCrashed(self.clock.now, node.spec.name))
        self.down(node)

    # Attempts.

    def send(self, host: Host, request: str, attempt: Attempt) -> None:
        node = self.nodes.get(attempt.backend)
        if node is None or not node.up or self.rng.random() < self.conditions.unwritten:
            self.clock.after(self._delay(), partial(host.ended, attempt, Outcome.CONNECT_FAILED))
            return
        late = self.conditions.late_up and self.rng.random() < self.conditions.late_up
        wait = self._delay() + (self.rng.randint(0, LATE_UP) if late else 0)
        self.clock.after(wait, partial(self._come, node, host, request, attempt))

    def _come(self, node: Node, host: Host, request: str, attempt: Attempt) -> None:
        if not node.up:
            host.ended(attempt, Outcome.CONNECT_FAILED)
            return
        if not host.writes(attempt):
            return  # given up before it was written whole
        attempt.written = True
        now = self.clock.now
        cls, key = self._asked[request]
        work = request_work_ns(self.scenario.seed, request, self.scenario.mean_work_ns(cls))
        taken = node.model.accept(now, request, work, key, self._windows.get(cls, 0))
        self.ledger.write(
            AttemptReceived(
                now,
                now,
                request,
                node.spec.name,
                f"n{host.position}",
                work,
                taken is None,
                bool(taken and taken.is_repeat),
                taken.value if taken else "",
            )
        )
        if node.model.crashed:
            self._fall(node)
            host.ended(attempt, Outcome.RESET)
            return
        if taken is None and not node.silent:
            self.clock.after(self._delay(), partial(host.ended, attempt, Outcome.REJECTED))
            return
        node.out[attempt] = host
        if taken is None or node.silent:
            return
        if self.rng.random() < self.conditions.reset:
            at = self.rng.randint(now, taken.done_at)
            self.clock.at(at, partial(self._finish, node, attempt, host, Outcome.RESET))
        else:
            self.clock.at(taken.done_at, partial(self._finish, node, attempt, host, Outcome.OK, taken.value))

    def _finish(self, node: Node, attempt: Attempt, host: Host, outcome: Outcome, value: str = "") -> None:
        if node.out.pop(attempt, None) is not None:
            self.clock.after(self._delay(), partial(host.ended, attempt, outcome, value))

    def hang_up(self, host: Host, attempt: Attempt) -> None:
        node = self.nodes.get(attempt.backend)
        if node is not None:
            node.out.pop(attempt, None)

    # Between gateways.

    def tell(self, host: Host, to: int | None, data: bytes) -> None:
        targets = range(self.scenario.gateways) if to is None else [to]
        for target in targets:
            if target == host.position or frozenset((target, host.position)) in self.apart:
                continue
            copies = 1 + (self.rng.random() < self.conditions.peer_twice)
            for _ in range(copies * (self.rng.random() >= self.conditions.peer_loss)):
                late = self.rng.randint(0, self.conditions.peer_delay)
                self.clock.after(self._delay() + late, partial(self._hear, target, host.position, data))

    def _hear(self, target: int, sender: int, data: bytes) -> None:
        if (host := self.hosts[target]) is not None:
            host.heard(sender, data)

    # Clients.

    def _arrive(self) -> None:
        if self.population.rate_multiple:
            self._try(self.population.next_request(), CONNECTS)
            self.clock.after(self.population.next_pause_ns(), self._arrive)

    def _try(self, want: ClientRequest, connects: int) -> None:
        host = self.hosts[want.gateway]
        if host is None:
            if connects > 1:
                other = self.population.choose_gateway(want.tenant, want.gateway)
                self._try(replace(want, gateway=other), connects - 1)
            return
        now, request, customer = self.clock.now, self.population.request_id(want), want.tenant
        self._asked[request] = want.cls, want.key
        self.ledger.write(
            RequestSent(
                now,
                request,
                want.origin,
                f"n{want.gateway}",
                want.cls,
                customer.plan,
                customer.number,
                want.units,
                want.timeout_ns,
            )
        )
        exchange = Exchange(self, want, request, host)
        self._open[want.gateway][request] = exchange.cut
        self.clock.after(self._delay(), exchange.deliver)
        self.clock.after(want.timeout_ns + WITNESS, exchange.leave)

    def close(self, position: int, request: str) -> None:
        self._open[position].pop(request, None)

    def come_again(self, want: ClientRequest, kind: str, advice_ms: int) -> None:
        if (
            again := self.population.retry(want, kind, advice_ms)
        ) is not None and self.population.rate_multiple:
            self.clock.after(again[0], partial(self._try, again[1], CONNECTS))

    def arrival(self, want: ClientRequest) -> tuple[int, int]:
        """Class and plan as the settings number them."""
        return self._classes[want.cls], self._plans[want.tenant.plan]


class Exchange:
    """One request of one client, until its answer or its end."""

    def __init__(self, fleet: VirtualFleet, want: ClientRequest, request: str, host: Host) -> None:
        self.fleet = fleet
        self.want = want
        self.request = request
        self.host = host
        self.number = 0
        self.over = False
        self.gone = False

    def deliver(self) -> None:
        if self.over or not self.host.alive:
            return
        want, (cls, plan) = self.want, self.fleet.arrival(self.want)
        customer = want.tenant
        self.number = self.host.take(
            self.request,
            cls,
            plan,
            customer.number,
            want.timeout_ns,
            want.units,
            customer.gateway_count,
            customer.first_gateway,
            self.answered,
        )

    def answered(self, kind: Kind, value: str, advice_ms: int) -> None:
        """The host has written an answer; it is on its way, unless the host dies before it has left."""
        self.fleet.clock.after(self.fleet._delay(), partial(self._read, kind, value, advice_ms))

    def _read(self, kind: Kind, value: str, advice_ms: int) -> None:
        if self.gone:
            return
        now = self.fleet.clock.now
        self.fleet.ledger.write(ReplyReceived(now, self.request, kind, value, advice_ms))
        if not self.over:
            self._end()
            if kind != "served":
                self.fleet.come_again(self.want, kind, advice_ms)

    def cut(self) -> None:
        if not self.over:
            self._end()
            self.gone = True
            self.fleet.ledger.write(ConnectionLost(self.fleet.clock.now, self.request))
            self.fleet.come_again(self.want, "cut", 0)

    def leave(self) -> None:
        if not self.over:
            self._end()
            self.gone = True
            self.fleet.ledger.write(ClientDisconnected(self.fleet.clock.now, self.request))
            if self.number:
                self.host.left(self.number)

    def _end(self) -> None:
        self.over = True
        self.fleet.close(self.want.gateway, self.request)


def _settings(scenario: Scenario, position: int) -> Settings:
    return parse_settings("\n".join(flatten(scenario.settings(position))))
