"""Several services behind one gateway: a broker for each, and one set of quotas for all of them.

The operator says which class of request is of which service, and discovery of which a backend is; nothing is
decided here. A broker knows the classes, backends, commitments and requests of its service alone: what a
request costs grows with its service's backends, and a service whose backends are slow or gone turns away no
other service's requests. Quotas, ceilings and limits on open attempts are a customer's, whatever service it
asks for: the brokers share one `Quota`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import replace

from .broker import Broker
from .actions import Action, LogMessage, Reject, SetTimer, WatchEndpoints
from .backends import Backend, EndpointUpdate, EndpointUpdateKind, Health
from .events import (
    AllocationChanged,
    AttemptEnded,
    ClassesChanged,
    ClientDisconnected,
    CounterAnswered,
    Event,
    FleetChanged,
    HealthChecked,
    PeerMessage,
    PlansChanged,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from .quota_events import handle_quota_event
from .settings import RequestClass, Settings

ServiceOf = Callable[[RequestClass], str]
NOWHERE = -1  # the place of a class whose service this gateway does not carry
_START = EndpointUpdate(EndpointUpdateKind.DELTA, 0, ())  # an event that changes nothing


class ClassTable:
    """Where each class of the settings stands: at which broker, and under which number there.

    A broker's numbers keep their meaning as long as the settings' do: requests that are open hold them. One
    whose class went to another service is free, and is given to the next that comes."""

    def __init__(
        self, classes: Sequence[RequestClass], carried: Sequence[str], service_of: ServiceOf
    ) -> None:
        self._places = {name: number for number, name in enumerate(carried)}
        self._service_of = service_of
        self.brokers: list[int] = []  # by the settings' number, its broker
        self.numbers: list[int] = []  # by the settings' number, the one at its broker
        self.classes: list[list[RequestClass]] = [[] for _ in carried]  # by broker and number there
        self._free: list[list[int]] = [[] for _ in carried]  # by broker, numbers there that no class has
        for number, each in enumerate(classes):
            self._place(number, each)

    def _place(self, number: int, each: RequestClass) -> None:
        """A class that is new under this number of the settings."""
        broker = self._places.get(self._service_of(each), NOWHERE)
        own = NOWHERE
        if broker != NOWHERE:
            taken, free = self.classes[broker], self._free[broker]
            own = free.pop() if free else len(taken)
            taken[own : own + 1] = [each]
        self.brokers[number : number + 1] = [broker]
        self.numbers[number : number + 1] = [own]

    def change(self, event: ClassesChanged) -> list[ClassesChanged]:
        """Take the event in; what each broker is to be told of it, by its own numbers. A class that comes
        from another service begins anew."""
        old_brokers, old_numbers = list(self.brokers), list(self.numbers)
        moved = []
        for number, each in enumerate(event.classes):
            broker = self._places.get(self._service_of(each), NOWHERE)
            if number >= len(old_brokers) or old_brokers[number] != broker:
                moved.append(number)
            elif broker != NOWHERE:
                self.classes[broker][self.numbers[number]] = each
        for number in moved:
            if number < len(old_brokers) and old_brokers[number] != NOWHERE:
                self._free[old_brokers[number]].append(old_numbers[number])
        for number in moved:
            self._place(number, event.classes[number])
        heirs = [list(range(len(classes))) for classes in self.classes]
        named: list[set[int]] = [set() for _ in self.classes]
        for number, heir in enumerate(event.predecessors):
            broker, own = self.brokers[number], self.numbers[number]
            if broker == NOWHERE:
                continue
            inside = heir >= 0 and old_brokers[heir] == broker
            heirs[broker][own] = old_numbers[heir] if inside else NOWHERE
            if number in event.active:
                named[broker].add(own)
        return [
            ClassesChanged(tuple(classes), frozenset(named[n]), tuple(heirs[n]), event.max_attempts)
            for n, classes in enumerate(self.classes)
        ]


class ServiceBrokers:
    """The brokers of the services that this gateway carries; takes events and gives actions as one broker.

    A backend's `service` is an index into `carried`. A request of a class whose service is not carried is
    refused: another gateway carries it."""

    def __init__(
        self, settings: Settings, seed: int, now: int, carried: Sequence[str], service_of: ServiceOf
    ) -> None:
        self.settings, self.carried = settings, tuple(carried)
        self._table = ClassTable(settings.classes, self.carried, service_of)
        first = Broker(self._of_service(0), seed, now)
        self.quota = first.quota
        others = [
            Broker(self._of_service(place), seed + place, now, self.quota)
            for place in range(1, len(self.carried))
        ]
        self.brokers = [first, *others]
        self._backends: dict[int, int] = {}  # the service that each listed backend was last told to be of
        self._started = False

    def _of_service(self, place: int) -> Settings:
        return replace(self.settings, classes=tuple(self._table.classes[place]))

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take in one event; the actions take effect at `now`."""
        actions: list[Action] = []
        if not self._started:
            self._started = True
            actions += [action for broker in self.brokers for action in broker.handle(now, _START)]
        return list(_once([*actions, *self._actions(now, event)]))

    def _actions(self, now: int, event: Event) -> Iterable[Action]:
        match event:
            case RequestArrived():
                return self._arrived(now, event)
            case AttemptEnded() | ResponseStarted():
                return self._of_attempt(now, event)
            case ClientDisconnected():
                return [
                    action
                    for broker in self.brokers
                    if event.request in broker.requests.open_requests
                    for action in broker.handle(now, event)
                ]
            case EndpointUpdate():
                return self._listed(now, event)
            case ClassesChanged():
                return self._reclassed(now, event)
            case PlansChanged() | FleetChanged() | AllocationChanged() | PeerMessage() | CounterAnswered():
                return self._of_quota(now, event)
            case TimerFired() | HealthChecked():
                return [action for broker in self.brokers for action in broker.handle(now, event)]

    # Requests.

    def _arrived(self, now: int, event: RequestArrived) -> Iterable[Action]:
        place = self._table.brokers[event.request_class]
        if place == NOWHERE:
            return [Reject(event.request, 0)]
        return self.brokers[place].handle(
            now, replace(event, request_class=self._table.numbers[event.request_class])
        )

    def _of_attempt(self, now: int, event: AttemptEnded | ResponseStarted) -> Iterable[Action]:
        """Attempts are numbered over all services: just one broker has it, or none any more."""
        key = event.request, event.attempt
        return [
            action
            for broker in self.brokers
            if key in broker.requests.attempts
            for action in broker.handle(now, event)
        ]

    # Backends and classes.

    def _listed(self, now: int, event: EndpointUpdate) -> Iterable[Action]:
        """Each broker hears of its own backends; that which a backend leaves for another, of its end."""
        whole = event.kind in (EndpointUpdateKind.FULL, EndpointUpdateKind.CACHED)
        entries: list[list[Backend]] = [[] for _ in self.brokers]
        before, here = self._backends, {} if whole else self._backends
        for entry in event.backends:
            place = before.get(entry.id, entry.service)
            if place != entry.service and not whole and entry.health is not Health.REMOVED:
                entries[place].append(replace(entry, health=Health.REMOVED))
            if entry.health is Health.REMOVED:
                here.pop(entry.id, None)
                entries[place].append(entry)
            else:
                here[entry.id] = entry.service
                entries[entry.service].append(entry)
        self._backends = here
        concerned = [
            n for n, mine in enumerate(entries) if mine or whole or event.kind is EndpointUpdateKind.FAILED
        ]
        return [
            action
            for n in concerned
            for action in self.brokers[n].handle(now, replace(event, backends=tuple(entries[n])))
        ]

    def _reclassed(self, now: int, event: ClassesChanged) -> Iterable[Action]:
        self.settings = replace(self.settings, classes=event.classes, max_attempts=event.max_attempts)
        told = self._table.change(event)
        for place, broker in enumerate(self.brokers):
            yield from self._named(place, broker.handle(now, told[place]))

    # What all services share.

    def _of_quota(
        self, now: int, event: PlansChanged | FleetChanged | AllocationChanged | PeerMessage | CounterAnswered
    ) -> Iterable[Action]:
        """Taken in once, then told to each broker."""
        match event:
            case PlansChanged():
                self.quota.change_plans(now, event)
                for place, broker in enumerate(self.brokers):
                    yield from self._named(place, [broker.evaluate_commitments(now)])
            case FleetChanged():
                self.quota.change_fleet(now, event)
                for broker in self.brokers:
                    broker.fleet_changed(event)
            case AllocationChanged() | PeerMessage() | CounterAnswered():
                admissions = [broker.admission for broker in self.brokers]
                yield from handle_quota_event(now, event, self.quota, admissions)

    def _named(self, place: int, actions: Iterable[Action]) -> Iterator[Action]:
        """Lines for the operators say of which service they are."""
        for action in actions:
            yield (
                LogMessage(f"{self.carried[place] or 'default'}: {action.text}")
                if isinstance(action, LogMessage)
                else action
            )

    # Another process that takes over.

    def retire(self, now: int) -> list[Action]:
        """Another process has the word from now on."""
        return [action for broker in self.brokers for action in broker.retire(now)]

    def resume(self) -> None:
        """The other process is gone: this one has the word again."""
        for broker in self.brokers:
            broker.resume()


def _once(actions: Iterable[Action]) -> Iterator[Action]:
    """Without what several brokers want alike: one beat and one watch serve all of them."""
    tokens: set[int] = set()
    watched = False
    for action in actions:
        if isinstance(action, SetTimer):
            if action.token in tokens:
                continue
            tokens.add(action.token)
        if isinstance(action, WatchEndpoints):
            if watched:
                continue
            watched = True
        yield action
