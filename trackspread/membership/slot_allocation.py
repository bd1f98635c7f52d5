"""Divides the shared limits into slots and allocates the slots to members.

Every limit that gateways share (a tenant's quota, its hard limit, its concurrency limit) is divided into
`SLOT_COUNT` slots; a member may use the fraction of each limit that its slots stand for. A set of slots is
stored as the bits of one integer. Each position in the platform's list of gateways has a contiguous range of
slots, so that a tenant whose traffic arrives at a few positions has its complete limits there. The slots of
vacant positions, and the shares of gateways without a position, are moved as little as possible.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from .identifiers import NO_POSITION, ListPosition, MemberId

SLOT_COUNT = 1024  # several for each gateway in a fleet of hundreds; as bits, 128 bytes of a datagram
ALL_SLOTS = (1 << SLOT_COUNT) - 1
SLOT_SET_BYTES = SLOT_COUNT // 8

Allocation = dict[MemberId, int]  # sets of slots by member


def slots_of(position: ListPosition) -> int:
    """Returns the slots of a list position, whose index counts from 0, or none for one outside the list."""
    index, length = position
    if not 0 <= index < length:
        return 0
    first = index * SLOT_COUNT // length
    end = (index + 1) * SLOT_COUNT // length
    return (1 << end) - (1 << first)


def slots_to_bytes(slots: int) -> bytes:
    """Returns the set in its wire format, which is little endian and empty for no slots."""
    return slots.to_bytes(SLOT_SET_BYTES, "little") if slots else b""


def slots_from_bytes(data: bytes) -> int:
    """Returns the set that these bytes encode; excess bytes from other members are ignored."""
    return int.from_bytes(data[:SLOT_SET_BYTES], "little")


def format_slots(slots: int) -> str:
    """Returns the set as ranges, such as `0-169,340-509`."""
    runs = []
    first = 0
    while slots >> first:
        rest = slots >> first
        first += (rest & -rest).bit_length() - 1  # the next slot in the set
        rest = slots >> first
        # The position of the lowest clear bit is the length of this range.
        length = (~rest & (rest + 1)).bit_length() - 1
        runs.append(f"{first}-{first + length - 1}")
        first += length
    return ",".join(runs)


def lowest_slots(slots: int, count: int) -> int:
    """Returns the `count` lowest slots of the set, or all of them where it has fewer."""
    if count >= slots.bit_count():
        return slots
    remaining = slots
    chosen = 0
    for _ in range(count):
        lowest = remaining & -remaining
        remaining ^= lowest
        chosen |= lowest
    return chosen


def allocate(
    members: Sequence[MemberId],
    positions: Mapping[MemberId, ListPosition],
    current: Mapping[MemberId, int],
    free: int,
) -> Allocation:
    """Divides the `free` slots: each of `members` gets those of its position and an even share of the rest.

    `current` holds the slots that each member has now, which it keeps in preference to other slots.
    """
    allocation = dict.fromkeys(members, 0)
    remaining = _allocate_by_position(allocation, positions, free)
    minimum = free.bit_count() // len(members) if members else 0
    remaining = _fill_up(allocation, current, remaining, minimum)
    # Fewer slots remain than there are members: the members with the fewest get one each.
    for member_id in _fewest_first(allocation):
        chosen = lowest_slots(remaining, 1)
        allocation[member_id] |= chosen
        remaining &= ~chosen
    for member_id in _fewest_first(allocation):
        _take_from_others(allocation, current, member_id, minimum)
    return allocation


def _fewest_first(allocation: Allocation) -> list[MemberId]:
    return sorted(allocation, key=lambda each: (allocation[each].bit_count(), each))


def _allocate_by_position(
    allocation: Allocation, positions: Mapping[MemberId, ListPosition], free: int
) -> int:
    """Gives each member the free slots of its position; returns the slots that remain."""
    remaining = free
    for member_id in sorted(allocation):
        allocation[member_id] = slots_of(positions.get(member_id, NO_POSITION)) & remaining
        remaining &= ~allocation[member_id]
    return remaining


def _fill_up(allocation: Allocation, current: Mapping[MemberId, int], remaining: int, minimum: int) -> int:
    """Gives each member up to `minimum` slots, first those it holds; returns the slots that remain."""
    for member_id in _fewest_first(allocation):
        for preferred in (current.get(member_id, 0) & remaining, remaining):
            missing = max(0, minimum - allocation[member_id].bit_count())
            chosen = lowest_slots(preferred & remaining, missing)
            allocation[member_id] |= chosen
            remaining &= ~chosen
    return remaining


def _take_from_others(
    allocation: Allocation, current: Mapping[MemberId, int], member_id: MemberId, minimum: int
) -> None:
    """Raises a member to `minimum` slots, taken from the members with most, first slots it holds."""
    while (missing := minimum - allocation[member_id].bit_count()) > 0:
        donor = max(allocation, key=lambda each: (allocation[each].bit_count(), each))
        available = allocation[donor].bit_count()
        spare = available - minimum
        if spare <= 0:
            return
        second_most = max(
            (slots.bit_count() for each, slots in allocation.items() if each != donor), default=0
        )
        step = max(1, min(spare, missing, available - second_most))
        chosen = lowest_slots(current.get(member_id, 0) & allocation[donor], step)
        chosen |= lowest_slots(allocation[donor] & ~chosen, step - chosen.bit_count())
        allocation[donor] &= ~chosen
        allocation[member_id] |= chosen
