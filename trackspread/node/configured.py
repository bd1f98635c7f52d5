"""The gateway's side of configuration that replicas hand down: the operator's table to a host.

What is held is shown to operators; no setting of the gateway is taken from it yet. May know: configuration,
the subscription. Decides nothing.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import msgspec

from ..config.addresses import Address, address
from ..config.operator import Fleet, Operator
from ..distribution.host import SubscriberHost
from ..distribution.report import report
from ..distribution.terms import SubscriberSettings
from ..distribution.wire import Wire
from ..membership.host import created_now_ms
from .bind_retry import bound_within
from .membered import keys


class Configured:
    """What the gateway holds of it; a new host each time that it takes part."""

    def __init__(self, name: str, operator: Operator, now: Callable[[], int]) -> None:
        """Raises `ConfigError`."""
        self._name, self._operator, self._now = name, operator, now
        self._wire = Wire(operator.fleet.name, keys(operator.fleet))
        self.host: SubscriberHost | None = None

    async def start(self, patience: float = 0.0) -> None:
        """Raises `OSError`. `patience`: s for which a process that goes may still hold the address."""
        await bound_within(patience, self._start)

    async def _start(self) -> None:
        host = self._made()
        try:
            await host.start()
        except OSError:
            host.close()
            raise
        self.host = host

    def _made(self) -> SubscriberHost:
        table = self._operator.configuration
        replicas = table.addresses()
        near = tuple(address(each, "configuration.near") for each in table.near) or self._of_region(replicas)
        others = tuple(each for each in replicas if each not in near)
        carried = frozenset(self._operator.services.carries)
        services = frozenset(table.services) or carried or None
        return SubscriberHost(
            self._name,
            SubscriberSettings(near, services, others),
            address(table.listen, "configuration.listen"),
            self._wire,
            int.from_bytes(os.urandom(8)),
            created_now_ms(),
            self._now,
            record=Path(table.record) if table.record else None,
        )

    def _of_region(self, replicas: tuple[Address, ...]) -> tuple[Address, ...]:
        """Those on control machines of this gateway's region; all, where it is not told."""
        fleet = self._operator.fleet
        seats = zip(replicas, fleet.control, strict=False)
        return tuple(each for each, seat in seats if seat.region == fleet.region) or replicas

    def rekey(self, fleet: Fleet) -> None:
        """Keys that changed; raises `ConfigError`, and the old ones go on."""
        self._wire.keys = keys(fleet)

    def close(self) -> None:
        if self.host is not None:
            self.host.close()
            self.host = None

    def answer(self) -> tuple[int, str]:
        """For the operators' door."""
        if self.host is None:
            return 503, "takes no configuration at this moment\n"
        return 200, msgspec.json.encode(report(self._now(), self.host)).decode() + "\n"
