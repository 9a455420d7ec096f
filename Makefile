# Two commands matter to a newcomer: `make demo` and `make test`.
PYTHON ?= $(shell command -v python3.11 || command -v python3)
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test format explore explore-jobs mutants soak bench clean

$(VENV)/.installed: pyproject.toml
	@$(PYTHON) -c 'import sys; sys.exit(sys.version_info[:2] != (3, 11))' || \
	  { echo "cloverwalk needs Python 3.11 (curio 1.6 does not import on 3.12 or later); set PYTHON=/path/to/python3.11"; exit 1; }
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/cloverwalk demo

test: $(VENV)/.installed
	$(BIN)/ruff format --check src tests bench deploy
	$(BIN)/ruff check src tests bench deploy
	$(BIN)/mypy
	$(BIN)/pytest

format: $(VENV)/.installed
	$(BIN)/ruff format src tests bench deploy
	$(BIN)/ruff check --fix src tests bench deploy

explore: $(VENV)/.installed
	$(BIN)/python tests/explore.py

mutants: $(VENV)/.installed
	$(BIN)/python tests/mutants.py

explore-jobs: $(VENV)/.installed
	$(BIN)/python tests/exploration/explore_jobs.py

soak: $(VENV)/.installed
	$(BIN)/cloverwalk soak --seeds 1-10 --nodes 6

bench: $(VENV)/.installed
	$(BIN)/python bench/costs.py


clean:
	rm -rf $(VENV) build
