PYTHON ?= python3.11
VENV = .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed
PACKAGES = packages/schema packages/node packages/standins packages/cli platform

.PHONY: setup demo test check format generate docs fuzz scenarios regression clean

setup: $(STAMP)

$(STAMP): requirements.txt constraints.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements.txt -c constraints.txt
	$(BIN)/python -m pip install -q --no-deps --no-build-isolation $(PACKAGES:%=-e %)
	touch $(STAMP)

demo: setup
	$(BIN)/python -m sardinedoor_standins.demo $(DEMO)

scenarios: setup
	$(BIN)/python -m sardinedoor_standins.scenario $(sort $(wildcard tests/roots/scenarios/*.scn tests/roots/scenarios/long/*.scn))

check: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python tools/generate.py --check

test: check docs
	$(BIN)/python -m pytest
	cd platform && ../$(BIN)/python -m pytest

docs: setup
	$(BIN)/sphinx-build -q -W -b html docs docs/_build/html

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate: setup
	$(BIN)/python tools/generate.py

FUZZ_EXAMPLES ?= 5000

fuzz: setup
	FUZZ_EXAMPLES=$(FUZZ_EXAMPLES) $(BIN)/python -m pytest -k fuzz
	cd platform && FUZZ_EXAMPLES=$(FUZZ_EXAMPLES) ../$(BIN)/python -m pytest -k fuzz

# BENCH is the path of the users' bench, SITES the folder of its site files.
regression: setup
	$(BIN)/python tools/regression.py $(BENCH) $(SITES)

clean:
	rm -rf $(VENV) docs/_build build out
