"""Selects the operators that generate faults: some of cosmic-ray's, and two more.

Replacements that nearly always raise (`+` by `<<` on floats) are left out, because any check detects them and
the share of detected mutants would look better than it is. No file is changed.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import cache
from typing import Any

import parso
from cosmic_ray.operators.operator import Operator
from cosmic_ray.plugins import get_operator, operator_names

Span = tuple[tuple[int, int], tuple[int, int]]  # first and last position, each as line and column

_PAIRS = {
    "ReplaceBinaryOperator": ("Add_Sub", "Sub_Add", "Mul_Div", "Div_Mul", "FloorDiv_Div", "Mod_FloorDiv"),
    "ReplaceComparisonOperator": (
        "Lt_LtE",
        "LtE_Lt",
        "Gt_GtE",
        "GtE_Gt",
        "Lt_GtE",
        "LtE_Gt",
        "Gt_LtE",
        "GtE_Lt",
        "Eq_NotEq",
        "NotEq_Eq",
        "Is_IsNot",
        "IsNot_Is",
    ),
    "ReplaceUnaryOperator": ("Delete_Not", "Delete_USub"),
}
_SINGLE = (
    "AddNot",
    "NumberReplacer",
    "ReplaceAndWithOr",
    "ReplaceOrWithAnd",
    "ReplaceTrueWithFalse",
    "ReplaceFalseWithTrue",
    "ReplaceBreakWithContinue",
    "ReplaceContinueWithBreak",
    "ZeroIterationForLoop",
)


class DropStatement(Operator):  # type: ignore[misc]
    """Replaces a statement of one line in a function by `pass`."""

    def mutation_positions(self, node: Any) -> Iterator[Span]:
        """Yields the span of the node if it is such a statement."""
        if node.type != "simple_stmt" or node.get_first_leaf().value in _NOT_DROPPED_KEYWORDS:
            return
        if node.children[0].type not in _NOT_DROPPED_TYPES and _is_inside(node, "funcdef"):
            yield node.start_pos, node.end_pos

    def mutate(self, node: Any, index: int) -> Any:
        """Returns a `pass` statement in the place of the node."""
        replacement = parso.parse("pass\n").children[0]  # type: ignore[no-untyped-call]
        replacement.parent = node.parent
        replacement.get_first_leaf().prefix = node.get_first_leaf().prefix
        return replacement

    @classmethod
    def examples(cls) -> tuple[()]:
        """Returns no examples, because only cosmic-ray's own tests use them."""
        return ()


_NOT_DROPPED_KEYWORDS = {"pass", "return", "raise", "break", "continue", "assert", "yield"}
_NOT_DROPPED_TYPES = ("string", "import_from", "import_name")


class SwapMinMax(Operator):  # type: ignore[misc]
    """Replaces a call of `min` by `max` and the reverse."""

    def mutation_positions(self, node: Any) -> Iterator[Span]:
        """Yields the span of the node if it is the name of a called function to swap."""
        if node.type == "name" and node.value in _SWAPPED and _is_called(node):
            yield node.start_pos, node.end_pos

    def mutate(self, node: Any, index: int) -> Any:
        """Returns the node with the other name."""
        node.value = _SWAPPED[node.value]
        return node

    @classmethod
    def examples(cls) -> tuple[()]:
        """Returns no examples, because only cosmic-ray's own tests use them."""
        return ()


_SWAPPED = {"min": "max", "max": "min"}


def _is_called(node: Any) -> bool:
    sibling = node.get_next_sibling()
    return sibling is not None and sibling.type == "trailer" and sibling.children[0].value == "("


def _is_inside(node: Any, node_type: str) -> bool:
    """Returns whether an ancestor of the node is of this type."""
    while node.parent is not None:
        node = node.parent
        if node.type == node_type:
            return True
    return False


@cache
def operators() -> dict[str, Operator]:
    """Returns all operators by name, in a fixed order; raises `RuntimeError` if cosmic-ray lacks one."""
    wanted = {f"core/{name}_{pair}" for name, pairs in _PAIRS.items() for pair in pairs}
    wanted |= {f"core/{name}" for name in _SINGLE}
    known = set(operator_names())
    if missing := wanted - known:
        raise RuntimeError(f"cosmic-ray has no operator {sorted(missing)[0]}")
    selected = {name.partition("/")[2]: get_operator(name)() for name in sorted(wanted)}
    return {**selected, "DropStatement": DropStatement(), "SwapMinMax": SwapMinMax()}
