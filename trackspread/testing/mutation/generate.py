"""All mutants of a module: each its text with one place changed.

What changes no meaning is left out: annotations (never evaluated here), docstrings, twins of another mutant,
texts that no longer compile, and whole numbers of 100 and more that change by one: nanoseconds and tuned
figures. May know: source text. Runs nothing.
"""

from __future__ import annotations

import ast
import multiprocessing
import random
from collections.abc import Iterable, Iterator
from contextlib import nullcontext
from dataclasses import dataclass
from difflib import SequenceMatcher
from functools import cache
from hashlib import blake2b
from pathlib import Path
from typing import Any, NamedTuple

from cosmic_ray.ast import get_ast
from cosmic_ray.mutating import mutate_code

from .operators import operators

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT.name
LARGE = 99  # from which a change by one is no fault that anybody would make


class Place(NamedTuple):
    """One mutant, not made yet."""

    module: str
    operator: str
    occurrence: int


@dataclass(frozen=True, slots=True)
class Mutant:
    """One fault: `before` and `after` are the lines that differ; `text` is the whole module with it.
    `key`: the same for the same fault in the same text, whatever else changes."""

    module: str
    operator: str
    line: int
    before: str
    after: str
    text: str
    key: str = ""

    def __str__(self) -> str:
        return f"{self.module}:{self.line} {self.operator}: {self.before!r} -> {self.after!r}"


class _Bare(ast.NodeTransformer):
    """Without annotations, docstrings and what only type checkers read."""

    def visit_AnnAssign(self, node: ast.AnnAssign) -> ast.AST:
        node.annotation = ast.Constant(None)
        self.generic_visit(node)
        return node

    def visit_arg(self, node: ast.arg) -> ast.AST:
        node.annotation = None
        return node

    def visit_FunctionDef(self, node: ast.FunctionDef) -> ast.AST:
        node.returns = None
        self.generic_visit(node)
        return node


def meaning(text: str) -> str:
    """What of a module's text can make a difference when it runs; raises `SyntaxError`."""
    return ast.dump(_Bare().visit(ast.parse(text)))


def modules(package: str) -> list[str]:
    """Dotted names of a package's modules (`decide`), or of one module (`backends.pools`)."""
    path = ROOT.joinpath(*package.split("."))
    found = [path.with_suffix(".py")] if path.with_suffix(".py").exists() else sorted(path.glob("*.py"))
    names = [".".join((PACKAGE, *p.relative_to(ROOT).with_suffix("").parts)) for p in found]
    return [name for name in names if not name.endswith("__init__")]


def source(module: str) -> str:
    return ROOT.joinpath(*module.split(".")[1:]).with_suffix(".py").read_text()


def places(module: str) -> list[Place]:
    """Where a mutant can be made: operator and occurrence, in a fixed order."""
    nodes = list(_walk(get_ast(source(module))))
    return [
        Place(module, name, occurrence)
        for name, operator in operators().items()
        for occurrence in range(sum(len(list(operator.mutation_positions(node))) for node in nodes))
    ]


def _walk(node: Any) -> Iterator[Any]:
    yield node
    for child in getattr(node, "children", ()):
        yield from _walk(child)


def make(place: Place) -> Mutant | None:
    """The mutant of a place; None where the text would mean the same, or nothing."""
    text, means = _as_it_is(place.module)
    made = mutate_code(text, operators()[place.operator], place.occurrence)
    if made is None:
        return None
    try:
        old, new = ast.parse(text), ast.parse(made)
    except SyntaxError:
        return None
    if not _decides(old, new) or _nudged(old, new) or meaning(made) == means:
        return None
    return _told(place.module, place.operator, text, made)


@cache
def _as_it_is(module: str) -> tuple[str, str]:
    """A module's text and its meaning."""
    text = source(module)
    return text, meaning(text)


def sample(packages: Iterable[str], count: int, seed: int, workers: int = 1) -> Iterator[Mutant]:
    """So many, drawn by the seed from all places of the packages; 0 for all of them. No two are alike.

    A text is parsed for each, a fifth of a second for a long one: `workers` processes share that."""
    names = [module for package in packages for module in modules(package)]
    seen = set[str]()
    with multiprocessing.get_context("spawn").Pool(workers) if workers > 1 else nullcontext() as pool:
        found = map(places, names) if pool is None else pool.imap(places, names, 1)
        drawn = [place for each in found for place in each]
        random.Random(f"mutants:{seed}").shuffle(drawn)
        made: Iterable[Mutant | None] = map(make, drawn) if pool is None else pool.imap(make, drawn)
        for mutant in made:
            if mutant is not None and mutant.key not in seen:
                seen.add(mutant.key)
                yield mutant
            if count and len(seen) >= count:
                return


def _nudged(old: ast.Module, new: ast.Module) -> bool:
    """Whether a large whole number has changed by one, which is under a hundredth of it."""
    before, after = ([n.value for n in ast.walk(tree) if isinstance(n, ast.Constant)] for tree in (old, new))
    changed = next(((a, b) for a, b in zip(before, after, strict=False) if a != b), None)
    return changed is not None and all(isinstance(x, int) and abs(x) >= LARGE for x in changed)


def _decides(old: ast.Module, new: ast.Module) -> bool:
    """False where a name that only type checkers use changes: a union of types bound at the top."""
    pairs = zip(old.body, new.body, strict=False)
    changed = next((a for a, b in pairs if ast.dump(a) != ast.dump(b)), None)
    union = ast.BinOp | ast.Subscript
    return not (
        isinstance(changed, ast.Assign)
        and isinstance(changed.value, union)
        and isinstance(changed.targets[0], ast.Name)
        and not changed.targets[0].id.isupper()
    )


def _told(module: str, name: str, text: str, made: str) -> Mutant:
    old, new = text.splitlines(), made.splitlines()
    change = next(op for op in SequenceMatcher(None, old, new, False).get_opcodes() if op[0] != "equal")
    _, i, j, k, m = change
    before, after = (" ".join(line.strip() for line in lines) for lines in (old[i:j], new[k:m]))
    key = blake2b(f"{module}\n{meaning(made)}".encode(), digest_size=8).hexdigest()
    return Mutant(module, name, i + 1, before, after, made, key)
