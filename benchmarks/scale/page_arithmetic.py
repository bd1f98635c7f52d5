"""Sums in words: an expression over named figures, worked out and written down from the same text.

May know: arithmetic. May not know: what the figures mean. A line's result is a name for the lines after it.
"""

from __future__ import annotations

import ast
import operator
from collections.abc import Callable, Iterable

import msgspec

_OPERATORS: dict[type[ast.operator], Callable[[float, float], float]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
}


class Line(msgspec.Struct, frozen=True):
    """One line of arithmetic. `sum`: an expression of +, -, *, /, min, names and numbers."""

    name: str
    what: str
    sum: str
    unit: str
    note: str = ""


class EvaluatedLine(msgspec.Struct, frozen=True):
    """A line with its value, and its expression with figures in place of names."""

    line: Line
    shown: str
    value: float


class ExpressionError(ValueError):
    """An expression with something else than +, -, *, /, min, names that are known and numbers."""


def evaluate_lines(lines: Iterable[Line], known: dict[str, float]) -> list[EvaluatedLine]:
    """All lines in order; `known` are the figures that they begin from. Raises ExpressionError."""
    figures, worked = dict(known), list[EvaluatedLine]()
    for line in lines:
        tree = ast.parse(line.sum, mode="eval").body
        value = _value(tree, figures, line.name)
        worked.append(EvaluatedLine(line, _shown(tree, figures), value))
        if line.name in figures:
            raise ExpressionError(f"{line.name}: a name of its own is wanted")
        figures[line.name] = value
    return worked


def figure(value: float) -> str:
    """A number for people: three digits or all before the point, thousands apart."""
    if value and abs(value) < 0.001:
        return f"{value:.2e}"
    for least, digits in ((100.0, 0), (10.0, 1), (1.0, 2)):
        if abs(value) >= least:
            text = f"{value:,.{digits}f}"
            return text.rstrip("0").rstrip(".") if "." in text else text
    return f"{value:.3g}"


def _value(tree: ast.expr, figures: dict[str, float], line: str) -> float:
    match tree:
        case ast.Constant(value=int() | float() as number):
            return float(number)
        case ast.Name(id=name) if name in figures:
            return figures[name]
        case ast.BinOp(left=left, op=op, right=right) if type(op) in _OPERATORS:
            return _OPERATORS[type(op)](_value(left, figures, line), _value(right, figures, line))
        case ast.Call(func=ast.Name(id="min"), args=parts) if parts:
            return min(_value(part, figures, line) for part in parts)
    raise ExpressionError(f"{line}: {ast.unparse(tree)}: numbers, known names, +, -, *, / and min are wanted")


def _shown(tree: ast.expr, figures: dict[str, float]) -> str:
    """The expression with figures in place of names."""
    text = ast.unparse(_Named(figures).visit(ast.parse(ast.unparse(tree), mode="eval")).body)
    return text.replace("'", "").replace("*", "x")


class _Named(ast.NodeTransformer):
    """Puts figures in place of names, as text."""

    def __init__(self, figures: dict[str, float]) -> None:
        self._figures = figures

    def visit_Name(self, node: ast.Name) -> ast.expr:
        return ast.Constant(figure(self._figures[node.id])) if node.id in self._figures else node

    def visit_Constant(self, node: ast.Constant) -> ast.expr:
        return ast.Constant(figure(float(node.value))) if isinstance(node.value, int | float) else node
