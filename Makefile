# README.md describes the targets.
VENV ?= .venv
PY := $(VENV)/bin/python
PACKAGES := $(addprefix packages/,core gateway testing server ctl bench) platform
EDITABLE := $(foreach p,$(PACKAGES),-e $(p))
CODE := packages platform tools
SEED ?= 1
RUNS ?= 20

# Directory, site and day of the users' benchmark, which is not part of this
# repository. CI does not need it.
KIT ?= ../given/kit/more/system
SITE ?= lmtra-ops
DAY ?= quiet-1

.PHONY: venv lint format test demo soak bench fleet clean

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.txt setuptools
	$(PY) -m pip install -q --no-deps --no-build-isolation $(EDITABLE)
	touch $@

lint: venv
	$(VENV)/bin/ruff format --check $(CODE)
	$(VENV)/bin/ruff check $(CODE)

format: venv
	$(VENV)/bin/ruff check --fix $(CODE)
	$(VENV)/bin/ruff format $(CODE)

test: lint
	$(PY) tools/run_tests.py

demo: venv
	$(PY) -m wagtailtide_testing.demo

soak: venv
	$(PY) -m wagtailtide_bench.soak --seed $(SEED) --runs $(RUNS)

bench: venv
	$(PY) -m wagtailtide_bench.main

fleet:
	@if [ -x $(KIT)/bin/fleetbench ]; then \
	    $(KIT)/bin/fleetbench run $(KIT)/sites/$(SITE).toml $(DAY); \
	else echo "no bench at $(KIT): set KIT to its folder"; exit 1; fi

clean:
	rm -rf $(VENV)
