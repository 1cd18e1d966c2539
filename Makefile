PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format generate bench chaos fault-pairs soak wire-fuzzer

demo: $(STAMP)
	$(BIN)/cicadatiller-demo

# Prints the tests that are known to fail; they are expected to, and fail the run if they pass.
test: $(STAMP)
	@sed -n 's/^test: /known red: /p' KNOWN-RED.txt
	$(BIN)/python -W error::ResourceWarning -m unittest discover -s tests -t . -b

# Some 40 minutes on an idle machine; each part can be run by itself.
bench: $(STAMP)
	$(BIN)/python -m bench.run heladera umhlaba overload
	$(BIN)/python -m bench.plots
	$(BIN)/python -m bench.policy_rounds
	$(BIN)/python -m bench.config_fanout
	$(BIN)/python -m bench.config_scale
	$(BIN)/python -m bench.config_spread
	$(BIN)/python -m bench.relay_speed
	$(BIN)/python -m bench.slopes
	$(BIN)/python -m bench.list_size
	$(BIN)/python -m bench.capacity

# Strikes real processes on loopback with faults, for less than three minutes; not part of CI.
chaos: $(STAMP)
	$(BIN)/python -m bench.chaos

# Plays N schedules of faults on real entries, from SEED on; see docs/SOAK.md. Not part of CI.
soak: $(STAMP)
	$(BIN)/python -m bench.soak regressions
	$(BIN)/python -m bench.soak run --seed $(or $(SEED),1) --count $(or $(N),50) --max-shrinks 12

# Draws N pairs of faults from SEED, on the paused clock.
fault-pairs: $(STAMP)
	SEED=$(or $(SEED),1) N=$(or $(N),5000) $(BIN)/python -m unittest -b tests.test_fault_pairs

# Plays N drawn schedules of the wire, on the paused clock; some 25 minutes. See docs/SOAK.md.
wire-fuzzer: $(STAMP)
	$(BIN)/python -m bench.wire_fuzzer --examples $(or $(N),50000) --seed $(or $(SEED),1) --interface $(or $(INTERFACE),platform)

lint: $(STAMP)
	$(BIN)/black --check --quiet src tests bench
	$(BIN)/ruff check --quiet src tests bench
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/black --quiet src tests bench
	$(BIN)/ruff check --quiet --fix src tests bench

# Needs the `generate` extra; the generated code is committed.
generate: $(STAMP)
	$(BIN)/pip install --quiet '.[generate]'
	PATH=$(abspath $(BIN)):$$PATH $(BIN)/python -m grpc_tools.protoc -Ischema \
		--py_out=src/cicadatiller/rpc/_generated --connectrpc_out=src/cicadatiller/rpc/_generated \
		$$(cd schema && find . -name '*.proto' | sed 's,^\./,,')

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)
