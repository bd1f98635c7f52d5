"""Which faults are generated: cosmic-ray's operators, less those that hardly ever say anything, and two more.

Left out on purpose: replacements that nearly always raise (`+` by `<<` on floats), as they would be killed by
any check and so make the share look better than it is. May know: parso's trees. Changes no file.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import cache
from typing import Any

import parso
from cosmic_ray.operators.operator import Operator
from cosmic_ray.plugins import get_operator, operator_names

Place = tuple[tuple[int, int], tuple[int, int]]

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
    """A statement of one line that is there for its effect is left out."""

    def mutation_positions(self, node: Any) -> Iterator[Place]:
        if node.type == "simple_stmt" and node.get_first_leaf().value not in _KEPT:
            first = node.children[0]
            if first.type not in ("string", "import_from", "import_name") and _inside(node, "funcdef"):
                yield node.start_pos, node.end_pos

    def mutate(self, node: Any, index: int) -> Any:
        prefix = node.get_first_leaf().prefix
        made = parso.parse("pass\n").children[0]  # type: ignore[no-untyped-call]
        made.parent = node.parent
        made.get_first_leaf().prefix = prefix
        return made

    @classmethod
    def examples(cls) -> tuple[()]:
        return ()


_KEPT = {"pass", "return", "raise", "break", "continue", "assert", "yield"}


class SwapMinMax(Operator):  # type: ignore[misc]
    """The other bound."""

    def mutation_positions(self, node: Any) -> Iterator[Place]:
        if node.type == "name" and node.value in _SWAPPED and _called(node):
            yield node.start_pos, node.end_pos

    def mutate(self, node: Any, index: int) -> Any:
        node.value = _SWAPPED[node.value]
        return node

    @classmethod
    def examples(cls) -> tuple[()]:
        return ()


_SWAPPED = {"min": "max", "max": "min"}


def _called(node: Any) -> bool:
    after = node.get_next_sibling()
    return after is not None and after.type == "trailer" and after.children[0].value == "("


def _inside(node: Any, kind: str) -> bool:
    """Whether some tree round it is of this kind."""
    while node.parent is not None:
        node = node.parent
        if node.type == kind:
            return True
    return False


@cache
def operators() -> dict[str, Operator]:
    """By name, in a fixed order."""
    wanted = {f"core/{name}_{pair}" for name, pairs in _PAIRS.items() for pair in pairs}
    wanted |= {f"core/{name}" for name in _SINGLE}
    known = set(operator_names())
    if missing := wanted - known:
        raise RuntimeError(f"cosmic-ray has no operator {sorted(missing)[0]}")
    made = {name.partition("/")[2]: get_operator(name)() for name in sorted(wanted)}
    return {**made, "DropStatement": DropStatement(), "SwapMinMax": SwapMinMax()}
