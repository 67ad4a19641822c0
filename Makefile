VENV := .venv
PYTHON := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: setup demo test lint measure slopes

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
	$(PYTHON) -m unittest discover -s tests -t . -q

measure: setup
	$(PYTHON) -m benchmarks.measure

slopes: setup
	$(PYTHON) -m benchmarks.slopes
