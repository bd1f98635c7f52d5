"""What all share, cut into slots, and who is to have which.

Every limit that gateways share (a member's quota, its ceiling, its open attempts) is worth `SLOTS` slots; who
has a slot may act on that much of every limit. A set of slots is the bits of one whole number. The places of
the platform's list of gateways have a run of slots each, so that a member whose traffic comes by a few places
has its whole limits there; what nobody lives on, and the shares of gateways that have no place, are moved as
little as can be.

May know: members, their places, what each holds. May not know: views, time, words.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from .terms import Place, Who

SLOTS = 1024  # several to a gateway in a fleet of hundreds; as bits 128 bytes of a datagram
WHOLE = (1 << SLOTS) - 1
_BYTES = SLOTS // 8


def slots_of(place: Place) -> int:
    """The slots of place (number, of how many), counted from 0; nothing for none."""
    number, places = place
    if not 0 <= number < places:
        return 0
    since, until = number * SLOTS // places, (number + 1) * SLOTS // places
    return (1 << until) - (1 << since)


def to_bytes(slots: int) -> bytes:
    return slots.to_bytes(_BYTES, "little") if slots else b""


def from_bytes(data: bytes) -> int:
    """What is too long is cut: it comes from others."""
    return int.from_bytes(data[:_BYTES], "little")


def text(slots: int) -> str:
    """As runs, `0-169,340-509`."""
    runs = []
    at = 0
    while slots >> at:
        at += ((slots >> at) & -(slots >> at)).bit_length() - 1  # to the next that is in
        rest = slots >> at
        length = (~rest & (rest + 1)).bit_length() - 1
        runs.append(f"{at}-{at + length - 1}")
        at += length
    return ",".join(runs)


def lowest(slots: int, count: int) -> int:
    """So many of these, the lowest first."""
    if count >= slots.bit_count():
        return slots
    left, made = slots, 0
    for _ in range(count):
        bit = left & -left
        left, made = left ^ bit, made | bit
    return made


def assign(
    members: Sequence[Who], places: Mapping[Who, Place], held: Mapping[Who, int], free: int
) -> dict[Who, int]:
    """Who of `members` is to have which of the `free` slots: its own place's, and an even share of the rest.
    `held`: what each has now, which it rather keeps than other slots."""
    made = dict.fromkeys(members, 0)
    left = free
    for who in sorted(members):
        made[who] = slots_of(places.get(who, (-1, 0))) & left
        left &= ~made[who]
    least = free.bit_count() // len(members) if members else 0

    def fewest(who: Who) -> tuple[int, Who]:
        return made[who].bit_count(), who

    for who in sorted(members, key=fewest):
        for chosen in (held.get(who, 0) & left, left):
            chosen = lowest(chosen & left, max(0, least - made[who].bit_count()))
            made[who] |= chosen
            left &= ~chosen
    for who in sorted(members, key=fewest):  # what does not go up evenly: fewer than there are members
        chosen = lowest(left, 1)
        made[who] |= chosen
        left &= ~chosen
    for who in sorted(members, key=fewest):
        _take(made, held, who, least)
    return made


def _take(made: dict[Who, int], held: Mapping[Who, int], who: Who, least: int) -> None:
    """For one that has fewer than `least`: from those that have most, rather what it holds already."""
    while (lack := least - made[who].bit_count()) > 0:
        donor = max(made, key=lambda each: (made[each].bit_count(), each))
        spare = made[donor].bit_count() - least
        if spare <= 0:
            return
        after = max((slots.bit_count() for each, slots in made.items() if each != donor), default=0)
        step = max(1, min(spare, lack, made[donor].bit_count() - after))
        mine = held.get(who, 0) & made[donor]
        chosen = lowest(mine, step)
        chosen |= lowest(made[donor] & ~chosen, step - chosen.bit_count())
        made[donor] &= ~chosen
        made[who] |= chosen
