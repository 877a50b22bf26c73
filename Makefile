PYTHON ?= python3.11
VENV := .venv
RUN := $(VENV)/bin/python

.PHONY: all setup demo test lint binary bench bench-full bench-limits bench-process slopes clean

all: lint test

setup: $(VENV)/.installed

$(VENV)/.installed: requirements-dev.lock
	test -x $(RUN) || $(PYTHON) -m venv $(VENV)
	$(RUN) -m pip install --quiet --disable-pip-version-check -r requirements-dev.lock
	touch $@

demo: setup
	$(RUN) examples/demo.py

test: setup
	$(RUN) -m tests.run

lint: setup
	$(RUN) -m black --check --quiet .
	$(RUN) -m ruff check --quiet .
	$(RUN) -m tests.check_docs
	if [ -x ../shared/check-shape ]; then $(RUN) ../shared/check-shape; fi

binary: setup
	mkdir -p dist
	$(RUN) -m shiv --quiet --compressed --console-script yuccahitch \
		--output-file dist/yuccahitch --python '/usr/bin/env $(PYTHON)' \
		-r requirements.lock --no-deps .

bench: setup
	$(RUN) -m benchmarks.policy

bench-full: setup
	$(RUN) -m benchmarks.policy --full

bench-limits: setup
	$(RUN) -m benchmarks.limits

bench-process: setup
	$(RUN) -m benchmarks.process

slopes: setup
	$(RUN) -m benchmarks.slopes

clean:
	rm -rf $(VENV) dist build .run
