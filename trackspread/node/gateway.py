"""One gateway: what it listens to and hears of, its start, its end, its successor; requests are
`requests.py`'s."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from ..backends.pools import Backends
from ..backends.resp import RespDialect
from ..config.addresses import ConfigError
from ..config.operator import DEFAULTS, Operator
from ..config.operator import needs_restart as tables_need_restart
from ..config.platform import Config, needs_restart
from ..config.roster import change
from ..control.door import Answer, Door
from ..decide.backends import EndpointUpdate, EndpointUpdateKind, Health
from ..decide.events import PeerMessage, PlansChanged
from ..decide.report import unavailable_backends, service_reports
from ..decide.services import ServiceBrokers
from ..fronts.connections import Clients, PassOn
from ..handover.link import Rendezvous
from ..fronts.resp import RespFront
from ..lists.agent import Discovery, parse_update
from ..lists.seam import ListError, Update
from ..lists.services import CarriedServices
from ..peers.datagrams import Peers
from .handover_state import StateExporter
from .requests import SECOND, Requests
from .takeover import Predecessor, Successor

if TYPE_CHECKING:
    from .celled import Celled
    from .configured import Configured
    from .counted import Counted
    from .membered import Membered
    from .planned import PlanFollower
    from .uses import Uses

log = logging.getLogger(__name__)

FIRST_LIST = 0.5  # s to wait for discovery's word at the start before the list last known serves
ANSWERED = 0.5  # s over the longest deadline in which a stopping gateway answers all: SIGKILL comes after 0.7
LONGEST = 3 * SECOND  # the longest deadline that SIGKILL waits for
EMPTIED = 0.1  # s more in which the last answers leave and their connections close
TELL_ON = 0.4  # s over the longest deadline that a stopping gateway still has word for its peers
HANDED = 2.0  # s for which a process that hands over may still hold the address in the fleet
RESERVED = 64  # descriptors that are neither a client's nor a backend's: listener, peers, discovery, files


class Gateway(Requests):
    """One running gateway, from its start to its end."""

    def __init__(
        self, config: Config, operator: Operator = DEFAULTS, vacated: Callable[[], None] = lambda: None
    ) -> None:
        """`vacated` is called once another process has taken over and nothing is owed here any more."""
        if operator.counter.servers:
            # No word from peers beside it: two sources would each hand out the whole.
            config = replace(
                config, settings=replace(config.settings, has_leased_quotas=True, may_gossip=False)
            )
        super().__init__(config, operator.services)
        self.operator, self._vacated = operator, vacated
        self.predecessor: Predecessor | None = None
        self._seen: set[int] = set()  # backends in the list, for what a whole list no longer names
        self._told, self._began = asyncio.Event(), self._loop.time()
        self._teller: asyncio.TimerHandle | None = None
        self.membered, self.celled = self._membered(), self._celled()
        self.configured = self._configured()
        answers = {b"/healthcheck": self._health, b"/stats": self._stats}
        if (viewed := self.membered or self.celled) is not None:
            answers[b"/fleet"] = viewed.answer
        if self.configured is not None:
            answers[b"/configuration"] = self.configured.answer
        if isinstance(self.module, ServiceBrokers):
            answers[b"/services"] = self._services_report
        self.door = Door(config.control, answers) if config.control is not None else None
        self._serving = False  # whether the clients' door is open, and stays so
        reserved = RESERVED * (1 if config.accept_fd is None else 2)
        if viewed is not None:
            reserved += viewed.descriptors
        spare = max(16, config.sockets - reserved)
        settings, most = config.settings, int(spare * operator.backends.descriptor_part)
        grace = settings.drain_grace_ns / SECOND * operator.backends.grace_part  # a loop may lag
        self.backends = Backends(
            most,
            config.connect_timeout / SECOND,
            config.connection_idle / SECOND,
            grace,
            self.now,
            RespDialect(),
            self,
            config.memory,
        )
        self._front = front = RespFront(settings, self.roster, config.plans)
        self.clients = Clients(
            [(each, front) for each in (config.listen, *operator.addresses())],
            self,
            spare - most,
            config.memory,
            operator.clients,
            config.accept_fd,
        )
        self.book = self._book()
        self.uses = self._uses()
        self.counted = self._counted()
        self.peers = Peers(config.peers, config.peers_all, settings.gateway_index, self.heard)
        self._spare = spare - most, most  # descriptors for clients and backends
        self._datagrams: int | None = None  # the peers' socket, kept in case that process does not live
        index = None
        carried = CarriedServices(operator.services.carried(), lambda number: number in self._seen)
        if config.known is not None:
            try:
                cached = parse_update(config.known, config.zones, config.kinds, cached=True, services=carried)
                self._learn(cached)
                index = cached.topology.version
            except ListError as error:
                log.warning("known list passed over: %s", error)
        if index is None:
            self.handle(EndpointUpdate(EndpointUpdateKind.CACHED, 0, ()))
        self.discovery = Discovery(
            config.discovery,
            config.zones,
            config.kinds,
            index,
            self._listed,
            settings.gateway_count,
            settings.drain_grace_ns / SECOND,
            carried,
        )
        if self.membered is not None:
            self.membered.begin()

    def _book(self) -> PlanFollower | None:
        """Where plans may have other figures than the platform's."""
        if not self.operator.plans.book:
            return None
        from .planned import PlanFollower  # not needed otherwise: it takes memory

        return PlanFollower(Path(self.operator.plans.book), self.config, self._replanned)

    def _uses(self) -> Uses | None:
        """Where use is recorded; raises `ConfigError`."""
        if not self.operator.use.folder:
            return None
        from .uses import Uses  # not needed otherwise: it takes memory

        return Uses(self.config, self.operator.use, self.now)

    def _counted(self) -> Counted | None:
        """Where a shared counter says what is kept here; raises `ConfigError`."""
        if not self.operator.counter.servers:
            return None
        from .counted import Counted  # not needed otherwise: it takes memory

        return Counted(self.config, self.operator.counter, self.now, self.module, self.handle)

    def _membered(self) -> Membered | None:
        """Where a view of the fleet is kept; raises `ConfigError`."""
        if not self.operator.fleet.name or self.operator.fleet.control:
            return None
        from .membered import Membered  # not needed otherwise: it takes memory

        place = self.config.settings.gateway_index, self.config.settings.gateway_count
        return Membered(self.config.name, self.operator.fleet, self.now, place, self.handle, self.heard)

    def _celled(self) -> Celled | None:
        """Where this gateway is in a cell of a larger fleet; raises `ConfigError`."""
        if not self.operator.fleet.control:
            return None
        from .celled import Celled  # not needed otherwise: it takes memory

        return Celled(self.config.name, self.operator.fleet, self.now)

    def _configured(self) -> Configured | None:
        """Where configuration is taken from replicas; raises `ConfigError`."""
        if not self.operator.configuration.listen:
            return None
        from .configured import Configured  # not needed otherwise: it takes memory

        return Configured(self.config.name, self.operator, self.now)

    def _replanned(self, event: PlansChanged) -> None:
        if self.counted is not None:
            self.counted.replan(event.plans)
        self.handle(event)

    async def start(self) -> None:
        """Open the sockets; the clients' comes last, when requests can be served."""
        if self.door is not None:
            await self.door.start()
        place = self._place()
        successor = Successor(self, place) if place is not None else None
        if successor is not None:
            successor.seek()
        else:
            await self._open_peers()
        self.discovery.start()
        if self.uses is not None:
            self.uses.start()
        if self.book is not None:
            self.book.start()
        if self.counted is not None:
            await self.counted.start()
        self._teller = self._loop.call_later(self.operator.log.tally_s, self._tally)
        try:
            # An old list breaks no rule, but the agent next door tells the new one within milliseconds.
            async with asyncio.timeout(FIRST_LIST):
                await self._told.wait()
        except TimeoutError:
            log.warning("no word from discovery yet, starting with the list last known")
        if successor is not None and place is not None:
            await successor.decided()
            await self._open_peers(successor.datagrams)
            self.predecessor = Predecessor(self, place, self._vacated)
            self.predecessor.listen()
        took_over = successor is not None and successor.took
        if took_over:
            # The old process takes nothing any more: whoever connects meanwhile can't wait for the fleet.
            await self.clients.start()
        if self.membered is not None:
            await self.membered.start(HANDED if place is not None else 0.0)
            await self.membered.ready()
        if self.celled is not None:
            await self.celled.start(HANDED if place is not None else 0.0)
        if self.configured is not None:
            await self.configured.start(HANDED if place is not None else 0.0)
        if not took_over:
            await self.clients.start()
        self._serving = True
        log.info("%s listening on %s:%d", self.config.name, self.config.listen[0], self.clients.port)

    def _place(self) -> Rendezvous | None:
        """Where an old process and a new one meet; none where the platform does not hold the clients'
        socket."""
        if not self.config.meeting:
            return None
        if self.uses is not None or self.counted is not None or self.services.classes:
            log.warning("handover: not possible with use records, a counter or services, the start is cold")
            return None
        try:
            return Rendezvous(Path(self.config.meeting), self.config.name)
        except OSError as error:
            log.warning("handover: TMPDIR: %s, the start is a cold one", error.strerror)
            return None

    async def _open_peers(self, given: int | None = None) -> None:
        at = self.config.peer_listen if self.config.settings.may_gossip and self.membered is None else None
        if at is not None:
            await self.peers.start(at, given, self.config.accept_fd is not None)
        elif given is not None:
            os.close(given)

    # For another process that takes over.

    def class_names(self) -> tuple[str, ...]:
        """By number."""
        return tuple(name.decode() for name in self.roster.names)

    def share(self, clients: int, links: int) -> None:
        """Descriptors that another process holds of those that both have together."""
        self.clients.bound = max(1, self._spare[0] - clients)
        self.backends.most = max(1, self._spare[1] - links)

    def freeze(self) -> int | None:
        """Take nothing more; the descriptor is of the peers' socket, for the other process."""
        self._serving = False
        self.clients.hand()
        self._datagrams = self.peers.leave()
        if self.membered is not None:
            self.membered.close(leave=False)  # who takes over is the same gateway to the fleet
        if self.celled is not None:
            self.celled.close(leave=False)
        if self.configured is not None:
            self.configured.close()
        return os.dup(self._datagrams) if self._datagrams is not None else None

    def retire(self, testator: StateExporter) -> None:
        """Grant nothing more, and tell the other process of what is still out."""
        self.testator = testator
        for action in self.module.retire(self.now()):
            self.act(action)

    def pass_on(self, pass_on: PassOn) -> None:
        self.clients.pass_on(pass_on)
        self.backends.close_all_idle()

    def vacant(self) -> bool:
        """Whether nothing is owed here any more; connections at rest leave meanwhile."""
        self.clients.leave_all()
        return not self.requests and not self.clients.count()

    async def unfreeze(self) -> None:
        """The other process is gone, or never came to serve."""
        self.testator = None
        self.module.resume()
        given, self._datagrams = self._datagrams, None
        await self._open_peers(given)
        if self.membered is not None:
            await self.membered.start(HANDED)
        if self.celled is not None:
            await self.celled.start(HANDED)
        if self.configured is not None:
            await self.configured.start(HANDED)
        await self.clients.unhand()
        self._serving = not self.clients.closing

    def _tally(self) -> None:
        """One line for the operators, which shows trouble that no single attempt does."""
        ends = ", ".join(f"{outcome.name} {n}" for outcome, n in sorted(self._ends.items()))
        log.info(
            "attempts: %s; requests %d, connections of clients %d, to backends %d, of these idle %d",
            ends or "none",
            len(self.requests),
            self.clients.count(),
            self.backends.open,
            self.backends.idle(),
        )
        self._ends.clear()
        self._teller = self._loop.call_later(self.operator.log.tally_s, self._tally)

    async def stop(self) -> None:
        """End in good order: all that was taken is answered first."""
        settings = self.config.settings
        began, longest = self._loop.time(), self._longest()
        self.answer_by = self.now() + min(LONGEST, longest) + int(ANSWERED * SECOND)
        self._serving = False
        if self.book is not None:
            self.book.stop()
        await self.clients.drain(began + longest / SECOND + ANSWERED + EMPTIED)
        handed = self.predecessor is not None and self.predecessor.handed
        if self._teller is not None:
            self._teller.cancel()
        await self.discovery.close()
        self.backends.close()
        if self.membered is not None:
            self.membered.close(leave=not handed)
        if self.celled is not None:
            self.celled.close(leave=not handed)
        if self.configured is not None:
            self.configured.close()
        if settings.may_gossip and settings.gateway_count > 1 and not handed and self.membered is None:
            # The module's beat goes on telling that nothing is used here. Its peers, on which the customers
            # now lean, would hold this gateway's slices of the quotas back for one that fell silent.
            await asyncio.sleep(max(0.0, began + longest / SECOND + TELL_ON - self._loop.time()))
        self.peers.close()
        if self.predecessor is not None:
            self.predecessor.close()
        if self.door is not None:
            self.door.close()
        if self.counted is not None:
            await self.counted.close()
        if self.uses is not None:
            await self.uses.stop()

    def _longest(self) -> int:
        """The longest time, ns, that a request which comes now or is open may take."""
        return max(rule.deadline_ns for rule in self.roster.rules)

    def _reclass(self, fresh: Config) -> None:
        """Other classes and number of attempts for what comes from now on."""
        held = {request.call.cls for request in self.requests.values()}
        roster, heirs = self.roster.follow(fresh.classes, fresh.settings.classes, held)
        most = fresh.settings.max_attempts
        if roster == self.roster and most == self.config.settings.max_attempts:
            return
        self.roster = roster
        self.config = replace(
            self.config,
            classes=fresh.classes,
            settings=replace(self.config.settings, classes=fresh.settings.classes, max_attempts=most),
        )
        self.handle(change(roster, heirs, most))
        self._front.configure(roster)
        self.figures.configured(fresh.classes)

    def reconfigure(self, fresh: Config, operator: Operator) -> None:
        """Take up classes and number of attempts, follow discovery to where it is now, and the operator's
        bounds and log; list, requests and connections stay as they are."""
        changed = needs_restart(self.config, fresh) + tables_need_restart(self.operator, operator)
        if changed:
            log.warning("configuration: a restart is needed for %s", ", ".join(changed))
        self.operator, self.clients.bounds = operator, operator.clients
        logging.getLogger("trackspread").setLevel(operator.log.level.upper())
        self.discovery.move(fresh.discovery)
        if (viewed := self.membered or self.celled) is not None:
            try:
                viewed.rekey(operator.fleet)
                if self.configured is not None:
                    self.configured.rekey(operator.fleet)
            except ConfigError as error:
                log.error("configuration: the fleet's keys are not taken, the old ones go on: %s", error)
        if self.uses is None:
            self._reclass(fresh)
        elif (fresh.classes, fresh.settings.classes) != (self.config.classes, self.config.settings.classes):
            log.warning("configuration: a restart is needed for classes while use is recorded")
        self.figures.reloads_ok += 1

    # For the operators.

    def _health(self) -> Answer:
        """Yes only where requests are taken and can be served."""
        return (200, "ok\n") if self._serving and self.ready() else (503, "not ready\n")

    def _stats(self) -> Answer:
        open_now = sum(not request.closed for request in self.requests.values())
        return 200, self.figures.lines(
            open_now, len(self._seen), unavailable_backends(self.module, self.now())
        )

    def _services_report(self) -> Answer:
        told = service_reports(self.module, self.now()) if isinstance(self.module, ServiceBrokers) else []
        return 200, msgspec.json.encode(told).decode() + "\n"

    # From the list and the peers.

    def _listed(self, update: Update) -> None:
        self._learn(update)
        if not self._told.is_set():
            self._told.set()
            log.info("first word from discovery %.2f s after the start", self._loop.time() - self._began)

    def _learn(self, update: Update) -> None:
        named = {entry.id for entry in update.topology.backends}
        if update.topology.kind is not EndpointUpdateKind.DELTA:
            for backend in self._seen - named:
                self.backends.learn(backend, None, update.old)
            self._seen = set()
        for entry in update.topology.backends:
            gone = entry.health is not Health.READY
            at = None if gone else update.addresses[entry.id]
            self.backends.learn(entry.id, at, update.old, entry.started_at_ns)
            (self._seen.discard if entry.health is Health.REMOVED else self._seen.add)(entry.id)
        self.handle(update.topology)

    def tell(self, to: int | None, data: bytes) -> None:
        """By the addresses of the view, where one is kept."""
        if self.membered is not None:
            self.membered.tell(to, data)
        else:
            self.peers.tell(to, data)

    def heard(self, sender: int, data: bytes) -> None:
        self.handle(PeerMessage(sender, data))
