# Shortcuts for common tasks. Each target that needs packages installs them
# first, so that it works on a fresh Debian 12 machine. KEEP=1 leaves the demo's
# processes running.
BUILD ?= build
JOBS ?= $(shell nproc)
KEEP ?= 0

.PHONY: deps build test demo format lint capacity clean

deps:
	scripts/install-packages

build: deps
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

test: build
	scripts/test-embed $(BUILD)
	scripts/run-tests $(BUILD)

demo: build
	KEEP=$(KEEP) scripts/demo $(BUILD)

format: deps
	scripts/format --check

lint: build
	scripts/lint $(BUILD)

capacity: build
	scripts/capacity $(BUILD)

clean:
	rm -rf $(BUILD)
