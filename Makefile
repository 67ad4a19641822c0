VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

# Storms and other seeded tests are the same in each run only with this.
export PYTHONHASHSEED := 0

SEEDS ?= 5
FIRST ?= 1

COUNT ?= 100
KIND ?= plain

.PHONY: setup demo test lint measure slopes explore soak silences patterns upgrades cuts

setup: $(STAMP)

$(STAMP): requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(PYTHON) -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $(STAMP)

demo: setup
	$(PYTHON) -m geraniumspool demo

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

test: lint
	$(PYTHON) -m tests.check

measure: setup
	$(PYTHON) -m benchmarks.measure

slopes: setup
	$(PYTHON) -m benchmarks.slopes

explore: setup
	$(PYTHON) -m benchmarks.explore

soak: setup
	$(PYTHON) -W ignore -m benchmarks.soak $(FIRST) $(SEEDS)

cuts: setup
	$(PYTHON) -W ignore -m benchmarks.cuts $(KIND) $(FIRST) $(COUNT)

silences: setup
	$(PYTHON) -W ignore -m benchmarks.silences

upgrades: setup
	$(PYTHON) -W ignore -m benchmarks.upgrades $(OLD)

patterns: setup
	$(PYTHON) -m benchmarks.patterns
