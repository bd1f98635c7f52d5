"""Holds the list of backends that discovery agents report, with its versions."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .loopback import Address, address_text

MAX_REMEMBERED_CHANGES = 512  # a gateway that asks for older ones gets the complete list

JsonObject = dict[str, Any]  # an object in the platform's form


@dataclass(frozen=True, slots=True)
class ListedBackend:
    """Describes one backend of the list.

    `dial` has its address for each gateway. `health` is `in_service`, `terminating` or `terminated`.
    `created_at_ms` is 0 for a backend that is warmed up. `service` is empty for the default service.
    """

    host: str
    dial: tuple[Address, ...]
    zone: str
    kind: str
    cell: int
    health: str
    created_at_ms: int
    service: str = ""

    def as_json(self, gateway: int) -> JsonObject:
        """Returns the entry in the form that the agent of a gateway sends."""
        entry = {
            "host": self.host,
            "dial": address_text(self.dial[gateway]),
            "site": self.zone,
            "class": self.kind,
            "block": self.cell,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.created_at_ms,
        }
        return {**entry, "service": self.service} if self.service else entry


class BackendList:
    """Holds the list that all agents report; `subscribers` are called with each changed entry."""

    def __init__(self) -> None:
        self.version = 1
        self.hosts: dict[str, ListedBackend] = {}
        self.subscribers: list[Callable[[ListedBackend], None]] = []
        self._changes: list[tuple[int, ListedBackend]] = []

    def put(self, entry: ListedBackend) -> None:
        """Adds or changes an entry; an entry with health `terminated` is removed."""
        self.version += 1
        if entry.health == "terminated":
            self.hosts.pop(entry.host, None)
        else:
            self.hosts[entry.host] = entry
        self._changes = [*self._changes[-MAX_REMEMBERED_CHANGES + 1 :], (self.version, entry)]
        for subscriber in self.subscribers:
            subscriber(entry)

    def snapshot(self, gateway: int) -> JsonObject:
        """Returns the complete list in the form that the agent of a gateway sends."""
        hosts = [entry.as_json(gateway) for entry in self.hosts.values()]
        return {"seq": self.version, "whole": True, "hosts": hosts}

    def changes_since(self, gateway: int, version: int) -> JsonObject:
        """Returns the changes after a version, or the complete list if those are no longer remembered."""
        oldest = self._changes[0][0] - 1 if self._changes else self.version
        if not oldest <= version <= self.version:
            return self.snapshot(gateway)
        last = {entry.host: entry for number, entry in self._changes if number > version}
        hosts = [entry.as_json(gateway) for entry in last.values()]
        return {"seq": self.version, "whole": False, "hosts": hosts}
