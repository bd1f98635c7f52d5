"""Makes the gateway a member of the fleet, by the operator's `fleet` table, and reports the fleet's view.

This module may depend on configuration and the view. It makes no decisions.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

import xxhash

from ..config.operator import Fleet
from ..decide.events import FleetChanged
from ..decide.peer_messages import MAX_MESSAGE_BYTES
from ..membership.host import Host
from ..membership.host import created_now_ms
from ..membership.report import FleetReport, fleet_report
from ..membership.slot_allocation import slots_of
from ..membership.identifiers import MS, SECOND, ListPosition
from ..membership.settings import MemberSettings
from ..membership.wire import Wire
from .fleet_keys import program_version
from .fleet_view_part import FleetViewPart
from .random_seed import random_seed

# A start waits this long for slots, which is longer than an election takes. Afterwards requests that need no
# slots are served.
READY_TIMEOUT_S = 5.0
READY_POLL_S = 0.02


def gateway_number(name: str) -> int:
    """Returns the 32-bit number of a gateway in the decision module, which is the same at all gateways."""
    return xxhash.xxh32_intdigest(name.encode())


class MembershipPart(FleetViewPart[Host]):
    """Runs the gateway's membership of the fleet, and reports changes of the fleet."""

    unavailable = "takes no part in the fleet at this moment\n"

    def __init__(
        self,
        name: str,
        fleet: Fleet,
        now: Callable[[], int],
        list_position: ListPosition = (0, 1),
        changed: Callable[[FleetChanged], None] = lambda event: None,
        message_received: Callable[[int, bytes], None] = lambda sender, data: None,
    ) -> None:
        """Checks the settings; raises `ConfigError`.

        `list_position` is the gateway's index in the platform's list of gateways and the length of that list.
        `changed` is called whenever the fleet changes, `message_received` with another gateway's number and
        message.
        """
        super().__init__(name, fleet, now)
        self._number = gateway_number(name)
        self._list_position = list_position
        self._changed = changed
        self._message_received = message_received
        self._names: dict[int, str] = {}  # names of the other gateways, by number
        self._peer_slots: dict[int, int] = {}  # slots that the other gateways report to hold, by number
        count = list_position[1]
        self._position_slots = tuple(slots_of((index, count)) for index in range(count))
        self._last = FleetChanged(self._number, (), (self._number,), self._position_slots, 0, (), 0, 0)

    def report_empty_fleet(self) -> None:
        """Reports an empty fleet, so that no shared quota is used before slots are granted."""
        self._changed(self._last)

    async def wait_until_ready(self) -> None:
        """Returns once slots are granted, or after `READY_TIMEOUT_S`."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + READY_TIMEOUT_S
        while self.host is not None and not self.host.core.usable_slots(self._now()):
            if loop.time() >= deadline_s:
                return
            await asyncio.sleep(READY_POLL_S)

    def send(self, to: int | None, data: bytes) -> None:
        """Sends a message to the gateway with number `to`, or to all if it is None."""
        if self.host is None:
            return
        if to is None:
            self.host.send_data(self._names.values(), data)
        else:
            self.host.send_data([self._names[to]] if to in self._names else [], data)

    def _received(self, name: str, data: bytes, slots: int) -> None:
        sender = gateway_number(name)
        if self._peer_slots.get(sender) != slots and sender in self._names:
            self._peer_slots[sender] = slots
            self._report_changes()
        if len(data) <= MAX_MESSAGE_BYTES:
            self._message_received(sender, data)

    def _report_changes(self) -> None:
        """Reports the present fleet, if it differs from the last one reported."""
        if self.host is None:
            return
        members = self.host.core.member_table
        peers = {gateway_number(peer.update.name): peer.update for peer in members.present()}
        # If two names have the same number, one of the gateways gets no messages, which is safe.
        peers.pop(self._number, None)
        slow = {number for number, update in peers.items() if update.slow}
        if members.own_update.slow:
            slow.add(self._number)
        self._names = {number: update.name for number, update in peers.items()}
        event = self._fleet_event(self.host, tuple(sorted(peers)), slow)
        self._peer_slots = {number: slots for number, slots in self._peer_slots.items() if number in peers}
        if event != self._last:
            self._last = event
            self._changed(event)

    def _fleet_event(self, host: Host, others: tuple[int, ...], slow: set[int]) -> FleetChanged:
        lease = host.core.lease
        slots, until_ns = (0, 0) if host.core.has_left else (lease.granted_slots, lease.valid_until_ns)
        all_gateways = tuple(sorted((self._number, *others)))
        owners = tuple(number for number in all_gateways if number not in slow) or all_gateways
        peer_slots = tuple(self._peer_slots.get(number, 0) for number in others)
        return FleetChanged(
            self._number,
            others,
            owners,
            self._position_slots,
            slots,
            peer_slots,
            until_ns,
            lease.granted_until_ns,
        )

    async def _start(self) -> None:
        fleet = self._fleet
        host = Host(
            self._settings(),
            self._listen_address(),
            Wire(fleet.name, self._keys, fleet.most),
            random_seed(),
            self._now,
            Path(fleet.record) if fleet.record else None,
            self._report_changes,
            self._received,
        )
        self.host = host
        try:
            await host.start()
        except OSError:
            self.host = None
            host.close(leave=False)
            raise

    def _settings(self) -> MemberSettings:
        fleet = self._fleet
        return MemberSettings(
            fleet.name,
            self._name,
            created_now_ms(),
            self._advertised_address(),
            fleet.seed_addresses(),
            program_version(),
            int(fleet.period_ms * MS),
            fleet.most,
            self._list_position,
            int(fleet.keep_s * SECOND),
        )

    def close(self, leave: bool = True) -> None:
        """Ends the membership; with `leave` False another process continues under this name."""
        if self.host is not None:
            self.host.close(leave)
            self._report_changes()
            self.host = None

    def report(self) -> FleetReport | None:
        """Returns the fleet's present view, or None while this gateway is not a member."""
        if self.host is None:
            return None
        return fleet_report(self._now(), self.host.core, self.host.counts, self.host.wire.dropped)
