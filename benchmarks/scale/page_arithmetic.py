"""Evaluates arithmetic expressions over named figures, and shows them with figures in place of names.

Value and shown text come from the same expression. The module does not know the meaning of the figures. The
result of a line can be used by its name in later lines.
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
    """Holds one line of arithmetic; `sum` is an expression of +, -, *, /, min, names and numbers."""

    name: str
    what: str
    sum: str
    unit: str
    note: str = ""


class EvaluatedLine(msgspec.Struct, frozen=True):
    """Holds a line with its value, and its expression with figures in place of names."""

    line: Line
    shown: str
    value: float


class ExpressionError(ValueError):
    """Reports a repeated name, or anything but +, -, *, /, min, known names and numbers."""


def evaluate_lines(lines: Iterable[Line], known: dict[str, float]) -> list[EvaluatedLine]:
    """Evaluates all lines in order, starting from the figures `known`. Raises ExpressionError."""
    figures, worked = dict(known), list[EvaluatedLine]()
    for line in lines:
        tree = ast.parse(line.sum, mode="eval").body
        value = _value(tree, figures, line.name)
        worked.append(EvaluatedLine(line, _shown(tree, figures), value))
        if line.name in figures:
            raise ExpressionError(f"{line.name}: must be a unique name")
        figures[line.name] = value
    return worked


def figure(value: float) -> str:
    """Formats a number with three digits, or all before the decimal point, and separated thousands."""
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
    raise ExpressionError(
        f"{line}: {ast.unparse(tree)}: must consist of numbers, known names, +, -, *, / and min"
    )


def _shown(tree: ast.expr, figures: dict[str, float]) -> str:
    """Returns the expression with figures in place of names."""
    text = ast.unparse(_FigureInserter(figures).visit(ast.parse(ast.unparse(tree), mode="eval")).body)
    return text.replace("'", "").replace("*", "x")


class _FigureInserter(ast.NodeTransformer):
    """Replaces names by figures, as text."""

    def __init__(self, figures: dict[str, float]) -> None:
        self._figures = figures

    def visit_Name(self, node: ast.Name) -> ast.expr:
        return ast.Constant(figure(self._figures[node.id])) if node.id in self._figures else node

    def visit_Constant(self, node: ast.Constant) -> ast.expr:
        return ast.Constant(figure(float(node.value))) if isinstance(node.value, int | float) else node
