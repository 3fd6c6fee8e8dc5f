PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
CODE := toucanpin standins scenarios tools benchmarks

.PHONY: demo test bench soak lint format golden clean

demo: $(STAMP)
	$(BIN)/python -m tools.demo
	$(BIN)/python -m tools.site_demo

test: $(STAMP)
	$(BIN)/python -m tools.run_tests

bench: $(STAMP)
	$(BIN)/python -m benchmarks

soak: $(STAMP)
	$(BIN)/python -m tools.soak --kept --parallel 2
	$(BIN)/python -m tools.soak --seeds 1-4 --parallel 2

lint: $(STAMP)
	$(BIN)/black --check --quiet $(CODE)
	$(BIN)/ruff check --quiet $(CODE)
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff check --quiet --fix $(CODE)
	$(BIN)/black --quiet $(CODE)

golden: $(STAMP)
	$(BIN)/python -m tools.golden

$(STAMP): requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

clean:
	rm -rf $(VENV) var build
