VENV := .venv
PY := $(VENV)/bin/python
NAME ?= relay
SEED ?= 1
SECONDS ?= 60

.PHONY: setup demo test lint soak soak-sides bench gen

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements.lock
	$(VENV)/bin/pip install -q --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(PY) -m standins.demo

test: setup
	$(PY) -m pytest

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

# Gateways before engines that pass tokens on.
soak: setup
	$(PY) platform/tests/soak --seed $(SEED) --seconds $(SECONDS)

# Entries and side processes.
soak-sides: setup
	$(PY) -m standins.soak --seed $(SEED) --seconds $(SECONDS)

bench: setup
	$(PY) -m benchmarks.$(NAME)

# Only for those who change thrift/caroblug.thrift; its output is committed.
gen:
	thrift --gen py:slots -out . thrift/caroblug.thrift
	rm -f __init__.py
