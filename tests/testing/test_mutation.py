"""Generated mutants: made once each, planted in memory, and told apart by the checks."""

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
TURNS = "trackspread.planning.rotation"


def test_places_name_every_mutant_of_a_module_and_no_two_mean_the_same() -> None:
    made = [mutant for place in places(TURNS) if (mutant := make(place)) is not None]
    assert len({meaning(mutant.text) for mutant in made} | {meaning(source(TURNS))}) > len(made) * 0.9
    assert {"AddNot", "DropStatement", "SwapMinMax", "NumberReplacer"} <= {mutant.operator for mutant in made}
    assert all(mutant.before != mutant.after for mutant in made)


def test_annotations_docstrings_and_types_are_no_faults() -> None:
    assert meaning("def f(a: int) -> int:\n    return a\n") == meaning("def f(a: str):\n    return a\n")
    assert meaning("x: int = 1\n") == meaning("x: float = 1\n") != meaning("x: int = 2\n")
    modules_of_types = ("trackspread.decide.events", "trackspread.decide.actions")
    made = [make(place) for module in modules_of_types for place in places(module)]
    assert not any(mutant and mutant.before.startswith(("Event =", "Action =")) for mutant in made)


def test_a_sample_hangs_on_its_seed_alone_and_has_no_twins() -> None:
    first, again = ([m.key for m in sample(["planning.rotation"], 20, seed)] for seed in (3, 3))
    assert first == again and len(set(first)) == 20
    assert first == [m.key for m in sample(["planning.rotation"], 20, 3, workers=2)]
    assert first != [m.key for m in sample(["planning.rotation"], 20, 4)]
    assert modules("planning.rotation") == [TURNS] and PLACEMENT in modules("planning")


def test_a_mutant_is_found_by_the_checks_and_the_file_stays_as_it_is() -> None:
    text = source(PLACEMENT)
    wrong = Mutant(PLACEMENT, "hand-made", 1, "", "", text.replace("% SLOTS", "% 2"))
    result = run_mutant(wrong)
    assert (result.fate, result.by) == ("killed", "tests") and source(PLACEMENT) == text


def test_a_mutant_that_hangs_is_ended_by_the_clock_and_one_that_does_not_load_is_found() -> None:
    hangs = Mutant(PLACEMENT, "hand-made", 1, "", "", "while True:\n    pass\n")
    assert run_mutant(hangs, timeout_s=2.0).by == "clock"
    gone = Mutant("trackspread.testing.mutation.checks", "hand-made", 1, "", "", "")
    with pytest.raises(RuntimeError, match="could not be planted"):  # no verdict, and surely no kill
        run_mutant(gone)
    broken = Mutant(PLACEMENT, "hand-made", 1, "", "", "raise RuntimeError\n")
    assert run_mutant(broken).fate == "killed"


def test_checks_that_find_fault_with_the_text_as_it_is_give_no_figure(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    plant.require_sound([PLACEMENT], 1)
    monkeypatch.setattr(plant, "source", lambda module: "raise RuntimeError\n")
    with pytest.raises(RuntimeError, match="checks of planning fail on the original text"):
        plant.require_sound([PLACEMENT], 1)


def test_nothing_is_begun_once_the_time_is_over() -> None:
    mutant = make(Place(TURNS, "AddNot", 0))
    assert mutant is not None
    assert list(run_all([mutant] * 3, 2, time.monotonic() - 1.0)) == []


def test_what_is_imported_already_cannot_be_planted() -> None:
    with pytest.raises(RuntimeError, match="imported already"):
        plant.plant("trackspread.testing.mutation.plant", "")


def test_the_list_of_equivalent_ones_is_not_stale_and_gives_reasons(tmp_path: Path) -> None:
    listed = load()
    for module, before, after in listed:
        assert before != after and before in " ".join(line.strip() for line in source(module).splitlines())
    bare = tmp_path / "equivalent.toml"
    bare.write_text('[[mutants]]\nmodule = "m"\nbefore = "a"\nafter = "b"\nreason = "none"\n')
    with pytest.raises(ValueError, match="reason must have at least 4 words"):
        load(bare)


def test_nothing_that_serves_imports_the_generator() -> None:
    text = "import sys, trackspread.cli, trackspread.node.serve; print('cosmic_ray' in sys.modules)"
    out = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, check=True)
    assert out.stdout.strip() == "False"
