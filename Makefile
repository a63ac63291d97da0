# make demo   installs packages, builds, runs a small system under load
# make check  builds, checks the format, runs all tests and the linter
# make bench  runs the benchmarks, prints one figure per line, as name=value

BUILD := build
SOURCES := $(shell git ls-files '*.cc' '*.h' | grep -v '_generated\.h$$')

.PHONY: demo check bench build packages format format-check lint test clean

packages:
	@scripts/packages

build: packages
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >$(BUILD).log 2>&1 || (cat $(BUILD).log; exit 1)
	@rm -f $(BUILD).log
	@cmake --build $(BUILD)

demo: build
	@scripts/demo

test: build
	@grep '^test: ' KNOWN-RED.txt | sed 's/^/known failure, not run: /' || true
	@cd $(BUILD) && ctest -j 4 --output-on-failure --no-tests=error

format:
	@clang-format -i $(SOURCES)

format-check: packages
	@clang-format --dry-run -Werror $(SOURCES)

lint: build
	@scripts/decisions
	@scripts/lint $(BUILD)

check: format-check test lint

bench: build
	@scripts/bench

clean:
	@rm -rf $(BUILD)
