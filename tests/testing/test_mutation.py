"""Tests that mutants are generated once each, planted in memory and detected by the checks."""

from __future__ import annotations

import subprocess
import sys
import time
from pathlib import Path

import pytest

from trackspread.testing.mutation import plant
from trackspread.testing.mutation.equivalent import load
from trackspread.testing.mutation.generate import (
    Mutant,
    Place,
    make,
    meaning,
    modules,
    places,
    sample,
    source,
)
from trackspread.testing.mutation.plant import run_all, run_mutant

PLACEMENT = "trackspread.planning.placement"
ROTATION = "trackspread.planning.rotation"


def test_mutants_of_a_module_differ_in_meaning() -> None:
    made = [mutant for place in places(ROTATION) if (mutant := make(place)) is not None]
    assert len({meaning(mutant.text) for mutant in made} | {meaning(source(ROTATION))}) > len(made) * 0.9
    assert {"AddNot", "DropStatement", "SwapMinMax", "NumberReplacer"} <= {mutant.operator for mutant in made}
    assert all(mutant.before != mutant.after for mutant in made)


def test_annotations_docstrings_and_types_are_not_mutated() -> None:
    assert meaning("def f(a: int) -> int:\n    return a\n") == meaning("def f(a: str):\n    return a\n")
    assert meaning("x: int = 1\n") == meaning("x: float = 1\n") != meaning("x: int = 2\n")
    modules_of_types = ("trackspread.decide.events", "trackspread.decide.actions")
    made = [make(place) for module in modules_of_types for place in places(module)]
    assert not any(mutant and mutant.before.startswith(("Event =", "Action =")) for mutant in made)


def test_sample_depends_on_seed_and_has_no_duplicates() -> None:
    first, again = ([m.key for m in sample(["planning.rotation"], 20, seed)] for seed in (3, 3))
    assert first == again and len(set(first)) == 20
    assert first == [m.key for m in sample(["planning.rotation"], 20, 3, workers=2)]
    assert first != [m.key for m in sample(["planning.rotation"], 20, 4)]
    assert modules("planning.rotation") == [ROTATION] and PLACEMENT in modules("planning")


def test_checks_detect_a_mutant_without_changing_its_file() -> None:
    text = source(PLACEMENT)
    wrong = Mutant(PLACEMENT, "hand-made", 1, "", "", text.replace("% SLOTS", "% 2"))
    result = run_mutant(wrong)
    assert (result.fate, result.by) == ("killed", "tests") and source(PLACEMENT) == text


def test_mutants_that_hang_or_fail_to_load_are_detected() -> None:
    hangs = Mutant(PLACEMENT, "hand-made", 1, "", "", "while True:\n    pass\n")
    assert run_mutant(hangs, timeout_s=2.0).by == "clock"
    not_importable = Mutant("trackspread.testing.mutation.checks", "hand-made", 1, "", "", "")
    with pytest.raises(RuntimeError, match="could not be planted"):  # no result, so it is not killed
        run_mutant(not_importable)
    broken = Mutant(PLACEMENT, "hand-made", 1, "", "", "raise RuntimeError\n")
    assert run_mutant(broken).fate == "killed"


def test_checks_that_fail_on_original_text_are_an_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    plant.require_sound([PLACEMENT], 1)
    monkeypatch.setattr(plant, "source", lambda module: "raise RuntimeError\n")
    with pytest.raises(RuntimeError, match="checks of planning fail on the original text"):
        plant.require_sound([PLACEMENT], 1)


def test_no_mutant_starts_after_the_end_time() -> None:
    mutant = make(Place(ROTATION, "AddNot", 0))
    assert mutant is not None
    assert list(run_all([mutant] * 3, 2, time.monotonic() - 1.0)) == []


def test_imported_module_cannot_be_replaced_by_a_mutant() -> None:
    with pytest.raises(RuntimeError, match="imported already"):
        plant.plant("trackspread.testing.mutation.plant", "")


def test_equivalent_mutants_match_sources_and_have_reasons(tmp_path: Path) -> None:
    listed = load()
    for module, before, after in listed:
        assert before != after and before in " ".join(line.strip() for line in source(module).splitlines())
    file = tmp_path / "equivalent.toml"
    file.write_text('[[mutants]]\nmodule = "m"\nbefore = "a"\nafter = "b"\nreason = "none"\n')
    with pytest.raises(ValueError, match="reason must have at least 4 words"):
        load(file)


def test_gateway_does_not_import_the_generator() -> None:
    text = "import sys, trackspread.cli, trackspread.node.serve; print('cosmic_ray' in sys.modules)"
    out = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, check=True)
    assert out.stdout.strip() == "False"
