# Entry points for people; CMake does the building.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: build packages test lint format demo bench latency capacity soak clean

build: packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

packages:
	scripts/install-packages

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

lint: packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	scripts/lint $(BUILD)

format:
	git ls-files -co --exclude-standard -- '*.cc' '*.h' | xargs clang-format -i

demo: build
	$(BUILD)/bin/foxtailquay_demo

bench: build
	$(BUILD)/bin/foxtailquay_bench
	$(BUILD)/bin/foxtailquay_latency

capacity: build
	$(BUILD)/bin/foxtailquay_capacity --charts_dir=charts

latency: build
	$(BUILD)/bin/foxtailquay_latency

# Random fault schedules; SEEDS is how many.
SEEDS ?= 500
soak: build
	$(BUILD)/bin/random_fault_test -- 1 $(SEEDS)

clean:
	rm -rf $(BUILD)
