# Two commands do everything, set-up included: `make try` and `make test`.
PYTHON ?= python3
READY = .venv/.ready
# Files of tests at once, of those that start no processes of the program.
SIDE_BY_SIDE ?= 6
# Of those that start processes: with more, a fleet lags, and its runs are played again.
FLEETS ?= 2
# More options for both runs of pytest; CI loads the plugin that knows KNOWN-RED.txt.
PYTEST_OPTIONS ?=

.PHONY: try test bench mutants clean
try: $(READY)
	.venv/bin/python -m trackspread try $(ARGS)

test: $(READY)
	.venv/bin/python -m pytest -q $(PYTEST_OPTIONS) -n $(SIDE_BY_SIDE) --dist loadfile -m "not processes"
	.venv/bin/python -m pytest -q $(PYTEST_OPTIONS) -n $(FLEETS) --dist loadfile -m processes

bench: $(READY)
	.venv/bin/python -m benchmarks.rules --quick
	.venv/bin/python -m benchmarks.cost --quick

# A seeded sample of generated mutants; ARGS="--all" for every one.
mutants: $(READY)
	.venv/bin/python -m benchmarks.convict $(or $(ARGS),--quick)

$(READY): requirements.txt
	test -x .venv/bin/python || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch $@

clean:
	rm -rf .venv
