# Commands are described in README.md.
VENV ?= .venv
PY := $(VENV)/bin/python
PACKAGES := core testing server ctl bench
EDITABLE := $(foreach p,$(PACKAGES),-e packages/$(p))
SEED ?= 1
RUNS ?= 20

.PHONY: venv lint format test demo soak bench clean

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.txt $(wildcard packages/*/pyproject.toml)
	python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.txt setuptools
	$(PY) -m pip install -q --no-deps --no-build-isolation $(EDITABLE)
	touch $@

lint: venv
	$(VENV)/bin/ruff format --check packages tools
	$(VENV)/bin/ruff check packages tools

format: venv
	$(VENV)/bin/ruff check --fix packages tools
	$(VENV)/bin/ruff format packages tools

test: lint
	$(PY) tools/run_tests.py

demo: venv
	$(PY) -m wagtailtide_testing.demo

soak: venv
	$(PY) -m wagtailtide_bench.soak --seed $(SEED) --runs $(RUNS)

bench: venv
	$(PY) -m wagtailtide_bench.main

clean:
	rm -rf $(VENV)
