"""Assigns numbers to request classes across reloads that add, remove and change classes.

A number refers to the same class while a request uses it. A class that is removed or changed keeps its rules
for open requests, and its number is reused only when no request uses it any more.
"""

from __future__ import annotations

from collections.abc import Sequence, Set
from dataclasses import dataclass

from ..decide.events import ClassesChanged
from ..decide.settings import RequestClass


NO_PREDECESSOR = -1


@dataclass(frozen=True, slots=True)
class Roster:
    """Holds the names and rules of request classes by number; clients can use the numbers in `named`."""

    names: tuple[bytes, ...]
    rules: tuple[RequestClass, ...]
    named: frozenset[int]

    @classmethod
    def initial(cls, names: Sequence[bytes], rules: Sequence[RequestClass]) -> Roster:
        """Returns the roster at the start, with numbers in the order of the configuration."""
        return cls(tuple(names), tuple(rules), frozenset(range(len(rules))))

    def numbers(self) -> dict[bytes, int]:
        """Returns the number of each class that clients can use."""
        return {self.names[number]: number for number in sorted(self.named)}

    def reload(
        self, names: Sequence[bytes], rules: Sequence[RequestClass], in_use: Set[int]
    ) -> tuple[Roster, tuple[int, ...]]:
        """Returns the roster after a reload, and the predecessor of each number.

        `in_use` holds the numbers of open requests. A predecessor is the number whose statistics a number
        continues, or `NO_PREDECESSOR`.
        """
        all_names = list(self.names)
        all_rules = list(self.rules)
        predecessors = list(range(len(self.rules)))
        old_numbers = self.numbers()
        named: set[int] = set()
        changed: list[tuple[bytes, RequestClass, int]] = []
        for name, rule in zip(names, rules, strict=True):
            old = old_numbers.get(name, NO_PREDECESSOR)
            if old != NO_PREDECESSOR and all_rules[old] == rule:
                named.add(old)
            else:
                changed.append((name, rule, old))
        # A number removed by this reload is free only at the next one: its statistics are copied first.
        free = [n for n in range(len(all_rules)) if n not in self.named and n not in in_use]
        for name, rule, old in changed:
            if free:
                number = free.pop(0)
                all_names[number] = name
                all_rules[number] = rule
                predecessors[number] = old
            else:
                number = len(all_rules)
                all_names.append(name)
                all_rules.append(rule)
                predecessors.append(old)
            named.add(number)
        return Roster(tuple(all_names), tuple(all_rules), frozenset(named)), tuple(predecessors)


def classes_changed(roster: Roster, predecessors: tuple[int, ...], max_attempts: int) -> ClassesChanged:
    """Returns the event that passes a roster to the decision module."""
    return ClassesChanged(roster.rules, roster.named, predecessors, max_attempts)
