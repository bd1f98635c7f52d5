"""Which number each class of request has, over files that add, drop and change classes.

May know: classes as the settings have them. May not know: requests, the decision module. A number keeps its
meaning for as long as a request holds it: what is dropped or changed while requests are open keeps its rules
for those, and its number goes to another class only once none holds it.
"""

from __future__ import annotations

from collections.abc import Sequence, Set
from dataclasses import dataclass

from ..decide.events import ClassesChanged
from ..decide.settings import RequestClass


@dataclass(frozen=True, slots=True)
class Roster:
    """`names` and `rules` by number; `named`: the numbers that clients can name now."""

    names: tuple[bytes, ...]
    rules: tuple[RequestClass, ...]
    named: frozenset[int]

    @classmethod
    def first(cls, names: Sequence[bytes], rules: Sequence[RequestClass]) -> Roster:
        return cls(tuple(names), tuple(rules), frozenset(range(len(rules))))

    def numbers(self) -> dict[bytes, int]:
        """What clients may name, and its number."""
        return {self.names[number]: number for number in sorted(self.named)}

    def follow(
        self, names: Sequence[bytes], rules: Sequence[RequestClass], held: Set[int]
    ) -> tuple[Roster, tuple[int, ...]]:
        """The roster under another file, and for each number the one whose past it goes on with, -1 for none.
        `held`: numbers that requests hold."""
        numbers, by_name = list(self.names), self.numbers()
        classes, heirs = list(self.rules), list(range(len(self.rules)))
        named: set[int] = set()
        fresh: list[tuple[bytes, RequestClass, int]] = []
        for name, rule in zip(names, rules, strict=True):
            old = by_name.get(name, -1)
            if old >= 0 and classes[old] == rule:
                named.add(old)
            else:
                fresh.append((name, rule, old))
        # An heir's own past is copied before its number can go to another: it is free at the next file only.
        free = [n for n in range(len(classes)) if n not in self.named and n not in held]
        for name, rule, old in fresh:
            if free:
                number = free.pop(0)
                numbers[number], classes[number], heirs[number] = name, rule, old
            else:
                number = len(classes)
                numbers.append(name)
                classes.append(rule)
                heirs.append(old)
            named.add(number)
        return Roster(tuple(numbers), tuple(classes), frozenset(named)), tuple(heirs)


def change(roster: Roster, heirs: tuple[int, ...], max_attempts: int) -> ClassesChanged:
    """The roster as the decision module is told of it."""
    return ClassesChanged(roster.rules, roster.named, heirs, max_attempts)
