"""Generates all mutants of a module, each of which is its text with a change in one place.

Changes without an effect are left out: annotations (never evaluated here), docstrings, duplicates of another
mutant, texts that don't compile, and integers of at least `LARGE` that change by one. Source text is read and
not executed.
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
LARGE = 99  # integers from which a change by one is not a realistic fault
KEY_BYTES = 8


class Place(NamedTuple):
    """Identifies one occurrence of an operator in a module, where a mutant can be made."""

    module: str
    operator: str
    occurrence: int


@dataclass(frozen=True, slots=True)
class Mutant:
    """Holds one fault: `before` and `after` are the lines that differ, and `text` is the complete module.

    `key` is the same for the same fault in the same text, whatever else changes.
    """

    module: str
    operator: str
    line: int
    before: str
    after: str
    text: str
    key: str = ""

    def __str__(self) -> str:
        return f"{self.module}:{self.line} {self.operator}: {self.before!r} -> {self.after!r}"


class _RemoveAnnotations(ast.NodeTransformer):
    """Removes annotations, which only type checkers read."""

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
    """Returns the part of a module's text that has an effect at run time; raises `SyntaxError`."""
    return ast.dump(_RemoveAnnotations().visit(ast.parse(text)))


def modules(package: str) -> list[str]:
    """Returns dotted names of a package's modules (`decide`), or of one module (`backends.pools`)."""
    path = ROOT.joinpath(*package.split("."))
    found = [path.with_suffix(".py")] if path.with_suffix(".py").exists() else sorted(path.glob("*.py"))
    names = [".".join((PACKAGE, *p.relative_to(ROOT).with_suffix("").parts)) for p in found]
    return [name for name in names if not name.endswith("__init__")]


def source(module: str) -> str:
    """Returns the text of a module by its dotted name."""
    return ROOT.joinpath(*module.split(".")[1:]).with_suffix(".py").read_text()


def places(module: str) -> list[Place]:
    """Returns all places of a module in a fixed order."""
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
    """Returns the mutant of a place, or None if its text has the same meaning or does not compile."""
    text, original_meaning = _original(place.module)
    mutated = mutate_code(text, operators()[place.operator], place.occurrence)
    if mutated is None:
        return None
    try:
        old, new = ast.parse(text), ast.parse(mutated)
    except SyntaxError:
        return None
    if _changes_only_types(old, new) or _is_large_number_off_by_one(old, new):
        return None
    if meaning(mutated) == original_meaning:
        return None
    return _mutant(place.module, place.operator, text, mutated)


@cache
def _original(module: str) -> tuple[str, str]:
    """Returns a module's text and its meaning."""
    text = source(module)
    return text, meaning(text)


def sample(packages: Iterable[str], count: int, seed: int, workers: int = 1) -> Iterator[Mutant]:
    """Draws `count` different mutants (0 for all) by the seed from all places of the packages.

    Each mutant requires parsing a module, which takes up to a fifth of a second; `workers` processes share
    this work.
    """
    names = [module for package in packages for module in modules(package)]
    seen = set[str]()
    with multiprocessing.get_context("spawn").Pool(workers) if workers > 1 else nullcontext() as pool:
        found = map(places, names) if pool is None else pool.imap(places, names, 1)
        candidates = [place for each in found for place in each]
        random.Random(f"mutants:{seed}").shuffle(candidates)
        made: Iterable[Mutant | None] = map(make, candidates) if pool is None else pool.imap(make, candidates)
        for mutant in made:
            if mutant is not None and mutant.key not in seen:
                seen.add(mutant.key)
                yield mutant
            if count and len(seen) >= count:
                return


def _is_large_number_off_by_one(old: ast.Module, new: ast.Module) -> bool:
    """Returns whether a large integer has changed by one, which is about a hundredth of it or less."""
    pairs = zip(_constants(old), _constants(new), strict=False)
    changed = next(((before, after) for before, after in pairs if before != after), None)
    return changed is not None and all(isinstance(value, int) and abs(value) >= LARGE for value in changed)


def _constants(tree: ast.Module) -> list[Any]:
    return [node.value for node in ast.walk(tree) if isinstance(node, ast.Constant)]


def _changes_only_types(old: ast.Module, new: ast.Module) -> bool:
    """Returns whether a name for type checkers only has changed, a union of types bound at module level."""
    pairs = zip(old.body, new.body, strict=False)
    changed = next((before for before, after in pairs if ast.dump(before) != ast.dump(after)), None)
    return (
        isinstance(changed, ast.Assign)
        and isinstance(changed.value, ast.BinOp | ast.Subscript)
        and isinstance(changed.targets[0], ast.Name)
        and not changed.targets[0].id.isupper()
    )


def _mutant(module: str, operator: str, text: str, mutated: str) -> Mutant:
    old, new = text.splitlines(), mutated.splitlines()
    opcodes = SequenceMatcher(None, old, new, False).get_opcodes()
    _, old_start, old_end, new_start, new_end = next(opcode for opcode in opcodes if opcode[0] != "equal")
    before = " ".join(line.strip() for line in old[old_start:old_end])
    after = " ".join(line.strip() for line in new[new_start:new_end])
    key = blake2b(f"{module}\n{meaning(mutated)}".encode(), digest_size=KEY_BYTES).hexdigest()
    return Mutant(module, operator, old_start + 1, before, after, mutated, key)
