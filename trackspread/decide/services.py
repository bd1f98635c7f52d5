"""Runs several services behind one gateway: a broker for each, and one set of quotas for all of them.

The operator assigns request classes to services, and discovery assigns backends; this module contains no
decisions. A broker knows only the classes, backends, commitments and requests of its own service. The cost of
a request therefore grows only with the backends of its service, and a service whose backends are slow or
unreachable does not cause rejections at other services. Quotas, hard limits and concurrency limits belong to
a tenant, whatever services it uses, so the brokers share one `Quota`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import replace

from .actions import Action, LogMessage, Reject, SetTimer, WatchEndpoints
from .backends import Backend, EndpointUpdate, EndpointUpdateKind, Health
from .broker import Broker
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

NOT_CARRIED = -1  # broker index of a class whose service this gateway does not carry
NO_PREDECESSOR = -1
_NO_CHANGE = EndpointUpdate(EndpointUpdateKind.DELTA, 0, ())


class ClassTable:
    """Maps each class of the settings to its broker and to its number there.

    A number at a broker keeps its meaning as long as the settings' number does, because open requests refer
    to it. When a class moves to another service, its number becomes free and is given to the next class that
    is added.
    """

    def __init__(
        self, classes: Sequence[RequestClass], carried: Sequence[str], service_of: ServiceOf
    ) -> None:
        self._broker_index_by_service = {name: index for index, name in enumerate(carried)}
        self._service_of = service_of
        self.broker_indexes: list[int] = []  # broker of each class, by the settings' number
        self.numbers: list[int] = []  # number at the broker, by the settings' number
        self.classes: list[list[RequestClass]] = [[] for _ in carried]  # by broker, and by number there
        self._free_numbers: list[list[int]] = [[] for _ in carried]  # unused numbers, by broker
        for number, request_class in enumerate(classes):
            self._assign(number, request_class)

    def _broker_index_of(self, request_class: RequestClass) -> int:
        return self._broker_index_by_service.get(self._service_of(request_class), NOT_CARRIED)

    def _assign(self, number: int, request_class: RequestClass) -> None:
        """Assigns a class that is new under this number of the settings."""
        broker_index = self._broker_index_of(request_class)
        own_number = NOT_CARRIED
        if broker_index != NOT_CARRIED:
            classes = self.classes[broker_index]
            free_numbers = self._free_numbers[broker_index]
            own_number = free_numbers.pop() if free_numbers else len(classes)
            classes[own_number : own_number + 1] = [request_class]
        # Replaces the entry of this number, or appends it if it is the next one.
        self.broker_indexes[number : number + 1] = [broker_index]
        self.numbers[number : number + 1] = [own_number]

    def change(self, event: ClassesChanged) -> list[ClassesChanged]:
        """Applies the event and returns it for each broker, with the class numbers used there.

        A class that comes from another service starts with new state.
        """
        old_broker_indexes = list(self.broker_indexes)
        old_numbers = list(self.numbers)
        self._reassign(event.classes, old_broker_indexes, old_numbers)
        predecessors = [list(range(len(classes))) for classes in self.classes]
        active: list[set[int]] = [set() for _ in self.classes]
        for number, predecessor in enumerate(event.predecessors):
            broker_index = self.broker_indexes[number]
            own_number = self.numbers[number]
            if broker_index == NOT_CARRIED:
                continue
            if predecessor >= 0 and old_broker_indexes[predecessor] == broker_index:
                predecessors[broker_index][own_number] = old_numbers[predecessor]
            else:
                predecessors[broker_index][own_number] = NO_PREDECESSOR
            if number in event.active:
                active[broker_index].add(own_number)
        return [
            ClassesChanged(
                tuple(classes), frozenset(active[index]), tuple(predecessors[index]), event.max_attempts
            )
            for index, classes in enumerate(self.classes)
        ]

    def _reassign(
        self, classes: Sequence[RequestClass], old_broker_indexes: Sequence[int], old_numbers: Sequence[int]
    ) -> None:
        """Applies other classes; classes whose service has changed move to the broker of the new service."""
        moved = []
        for number, request_class in enumerate(classes):
            broker_index = self._broker_index_of(request_class)
            if number >= len(old_broker_indexes) or old_broker_indexes[number] != broker_index:
                moved.append(number)
            elif broker_index != NOT_CARRIED:
                self.classes[broker_index][self.numbers[number]] = request_class
        for number in moved:
            if number < len(old_broker_indexes) and old_broker_indexes[number] != NOT_CARRIED:
                self._free_numbers[old_broker_indexes[number]].append(old_numbers[number])
        for number in moved:
            self._assign(number, classes[number])


class ServiceBrokers:
    """Holds the brokers of the services that this gateway carries, behind the interface of one broker.

    A backend's `service` is an index into `carried`. Requests of classes whose service is not carried here
    are rejected, because another gateway carries it.
    """

    def __init__(
        self, settings: Settings, seed: int, now: int, carried: Sequence[str], service_of: ServiceOf
    ) -> None:
        self.settings = settings
        self.carried = tuple(carried)
        self._class_table = ClassTable(settings.classes, self.carried, service_of)
        first = Broker(self._settings_of(0), seed, now)
        self.quota = first.quota
        others = [
            Broker(self._settings_of(index), seed + index, now, self.quota)
            for index in range(1, len(self.carried))
        ]
        self.brokers = [first, *others]
        # Service of each listed backend, as discovery last reported it.
        self._service_of_backend: dict[int, int] = {}
        self._is_started = False

    def _settings_of(self, broker: int) -> Settings:
        return replace(self.settings, classes=tuple(self._class_table.classes[broker]))

    def client_window(self, busy_clients: int, connections: int, is_backlogged: bool) -> int:
        """Returns how many requests one client may have in flight; see `BacklogLimit.window`.

        A client's requests may be for any service, so the least bound of all services holds.
        """
        return min(each.client_window(busy_clients, connections, is_backlogged) for each in self.brokers)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Processes one event and returns the actions that take effect at `now`."""
        actions: list[Action] = []
        if not self._is_started:
            self._is_started = True
            actions += self._handle_by_all(now, _NO_CHANGE)
        actions += self._handle(now, event)
        return list(_without_duplicates(actions))

    def _handle(self, now: int, event: Event) -> Iterable[Action]:
        match event:
            case RequestArrived():
                return self._on_request_arrived(now, event)
            case AttemptEnded() | ResponseStarted():
                return self._on_attempt_event(now, event)
            case ClientDisconnected():
                return self._on_client_disconnected(now, event)
            case EndpointUpdate():
                return self._on_endpoint_update(now, event)
            case ClassesChanged():
                return self._on_classes_changed(now, event)
            case PlansChanged():
                return self._on_plans_changed(now, event)
            case FleetChanged():
                return self._on_fleet_changed(now, event)
            case AllocationChanged() | PeerMessage() | CounterAnswered():
                admissions = [broker.admission for broker in self.brokers]
                return handle_quota_event(now, event, self.quota, admissions)
            case TimerFired() | HealthChecked():
                return self._handle_by_all(now, event)

    def _handle_by_all(self, now: int, event: Event) -> list[Action]:
        return [action for broker in self.brokers for action in broker.handle(now, event)]

    def _on_request_arrived(self, now: int, event: RequestArrived) -> Iterable[Action]:
        broker = self._class_table.broker_indexes[event.request_class]
        if broker == NOT_CARRIED:
            return [Reject(event.request, 0)]
        own_number = self._class_table.numbers[event.request_class]
        return self.brokers[broker].handle(now, replace(event, request_class=own_number))

    def _on_attempt_event(self, now: int, event: AttemptEnded | ResponseStarted) -> Iterable[Action]:
        """Passes the event to the broker that has the attempt, if there still is one.

        Attempts are numbered over all services, so at most one broker has it.
        """
        key = event.request, event.attempt
        return [
            action
            for broker in self.brokers
            if key in broker.requests.attempts
            for action in broker.handle(now, event)
        ]

    def _on_client_disconnected(self, now: int, event: ClientDisconnected) -> Iterable[Action]:
        return [
            action
            for broker in self.brokers
            if event.request in broker.requests.open_requests
            for action in broker.handle(now, event)
        ]

    def _on_endpoint_update(self, now: int, event: EndpointUpdate) -> Iterable[Action]:
        """Passes to each broker the entries of its own backends.

        If a backend moves to another service, the broker of the former one gets its removal.
        """
        is_complete = event.kind in (EndpointUpdateKind.FULL, EndpointUpdateKind.CACHED)
        entries: list[list[Backend]] = [[] for _ in self.brokers]
        before = self._service_of_backend
        after = {} if is_complete else before
        for entry in event.backends:
            is_removed = entry.health is Health.REMOVED
            old_service = before.get(entry.id, entry.service)
            if old_service != entry.service and not is_complete and not is_removed:
                entries[old_service].append(replace(entry, health=Health.REMOVED))
            if is_removed:
                after.pop(entry.id, None)
                entries[old_service].append(entry)
            else:
                after[entry.id] = entry.service
                entries[entry.service].append(entry)
        self._service_of_backend = after
        concerns_all = is_complete or event.kind is EndpointUpdateKind.FAILED
        return [
            action
            for broker, own_entries in zip(self.brokers, entries, strict=True)
            if own_entries or concerns_all
            for action in broker.handle(now, replace(event, backends=tuple(own_entries)))
        ]

    def _on_classes_changed(self, now: int, event: ClassesChanged) -> Iterable[Action]:
        self.settings = replace(self.settings, classes=event.classes, max_attempts=event.max_attempts)
        own_events = self._class_table.change(event)
        for index, broker in enumerate(self.brokers):
            yield from self._with_service(index, broker.handle(now, own_events[index]))

    def _on_plans_changed(self, now: int, event: PlansChanged) -> Iterable[Action]:
        self.quota.change_plans(now, event)
        for index, broker in enumerate(self.brokers):
            yield from self._with_service(index, [broker.evaluate_commitments(now)])

    def _on_fleet_changed(self, now: int, event: FleetChanged) -> Iterable[Action]:
        self.quota.change_fleet(now, event)
        for broker in self.brokers:
            broker.fleet_changed(event)
        return []

    def _with_service(self, index: int, actions: Iterable[Action]) -> Iterator[Action]:
        """Returns the actions with the service's name in front of log lines."""
        for action in actions:
            if isinstance(action, LogMessage):
                yield LogMessage(f"{self.carried[index] or 'default'}: {action.text}")
            else:
                yield action

    def retire(self, now: int) -> list[Action]:
        """Stops all brokers, as another process of the gateway takes over."""
        return [action for broker in self.brokers for action in broker.retire(now)]

    def resume(self) -> None:
        """Resumes deciding after the process that took over has ended."""
        for broker in self.brokers:
            broker.resume()


def _without_duplicates(actions: Iterable[Action]) -> Iterator[Action]:
    """Drops repeated timers and watches, as one serves all brokers that request the same."""
    tokens: set[int] = set()
    is_watched = False
    for action in actions:
        if isinstance(action, SetTimer):
            if action.token in tokens:
                continue
            tokens.add(action.token)
        if isinstance(action, WatchEndpoints):
            if is_watched:
                continue
            is_watched = True
        yield action
