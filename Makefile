# Builds libmustardspread, the daemon, the command line and the tests.
#
#   make            optimised build in build/
#   make run        the example deployment on loopback, with a table of outcomes
#   make check      all tests; ends with "N passed, N failed"
#   make bench-leader  processor time of the engine at 3,000 servers
#   make lint       clang-format and clang-tidy
#   make format     reformats the C and C++ sources
#   make mutants    checks that the tests catch deliberate faults
#   make asan|tsan  sanitizer builds in build-asan/ and build-tsan/

BUILD ?= build
CC = gcc
CXX = g++
OPTIMISE ?= -O2 -g
SANITIZE ?=
PACKAGES = glib-2.0 jansson libmicrohttpd libcurl ck libprotobuf-c zlib
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Werror
CPPFLAGS += -D_GNU_SOURCE -DG_LOG_DOMAIN='"mustardspread"' -Iinclude -Isrc
CFLAGS = -std=c11 $(OPTIMISE) $(WARN) $(SANITIZE) $(shell pkg-config --cflags $(PACKAGES))
CXXFLAGS = -std=c++17 -O1 -w $(SANITIZE)
LDLIBS = $(shell pkg-config --libs $(PACKAGES)) -lstdc++ -lpthread -lm
LDFLAGS += $(SANITIZE)

LIB_SOURCES = $(filter-out src/daemon/% src/cli/%,$(wildcard src/*/*.c))
PLATFORM_OBJECTS = $(patsubst %.c,$(BUILD)/%.o,$(wildcard platform/*.c))
LIB_OBJECTS = $(LIB_SOURCES:%.c=$(BUILD)/%.o) $(BUILD)/src/config/toml_json.o
LIB = $(BUILD)/libmustardspread.a
TEST_SOURCES = $(wildcard tests/unit/*.c)
TEST_OBJECTS = $(TEST_SOURCES:%.c=$(BUILD)/%.o)
SOURCES = $(shell git ls-files -co --exclude-standard '*.c' '*.h' '*.cc' | grep -v pb-c)

PROGRAMS = $(BUILD)/mustardspreadd $(BUILD)/mustardspread-entryd $(BUILD)/mustardspread
TEST_PROGRAMS = $(BUILD)/unit-tests $(BUILD)/differential $(BUILD)/bench-policy $(BUILD)/bench-detector
EXAMPLES = $(patsubst examples/%.c,$(BUILD)/example-%,$(wildcard examples/*.c))

all: $(LIB) $(PROGRAMS)

$(LIB): $(LIB_OBJECTS)
	@rm -f $@
	$(AR) rcs $@ $^

$(BUILD)/mustardspreadd: $(BUILD)/src/daemon/main.o $(LIB)
	@echo LD $@; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# The only daemon that links the platform adapter, which implements the interfaces in src/ports.
$(BUILD)/mustardspread-entryd: $(BUILD)/src/daemon/entry_main.o $(PLATFORM_OBJECTS) $(LIB)
	@echo LD $@; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/mustardspread: $(patsubst %.c,$(BUILD)/%.o,$(wildcard src/cli/*.c)) $(LIB)
	@echo LD $@; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/unit-tests: $(TEST_OBJECTS) $(LIB)
	@echo LD $@; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS) $(shell pkg-config --libs check)

$(BUILD)/differential: $(BUILD)/tests/naive/differential.o $(BUILD)/tests/naive/simulator.o $(BUILD)/tests/naive/simulator_action.o $(BUILD)/tests/naive/simulator_scenario.o $(BUILD)/tests/naive/simulator_server.o $(BUILD)/tests/naive/reference_scheduler.o $(LIB)
	@echo LD $@; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

SIMULATOR_OBJECTS = $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/batch/simulat*.c))

$(BUILD)/batch-unit: $(patsubst %.c,$(BUILD)/%.o,$(wildcard tests/batch/unit*.c)) $(SIMULATOR_OBJECTS) $(PLATFORM_OBJECTS) $(LIB)
	@echo LD $@; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS) $(shell pkg-config --libs check)

$(BUILD)/batch-open-faults: $(BUILD)/tests/batch/open_faults.o $(BUILD)/tests/batch/unit_late_copy.o $(BUILD)/tests/batch/unit_helpers.o $(SIMULATOR_OBJECTS) $(LIB)
	@echo LD $@; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS) $(shell pkg-config --libs check)

$(BUILD)/batch-fuzz: $(BUILD)/tests/batch/engine_fuzz.o $(SIMULATOR_OBJECTS) $(LIB)
	@echo LD $@; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/reader-fuzz: $(BUILD)/tests/fuzz/readers.o $(PLATFORM_OBJECTS) $(LIB)
	@echo LD $@; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/bench-policy: $(BUILD)/bench/policy.o $(BUILD)/tests/naive/simulator.o $(BUILD)/tests/naive/simulator_action.o $(BUILD)/tests/naive/simulator_scenario.o $(BUILD)/tests/naive/simulator_server.o $(BUILD)/tests/naive/reference_scheduler.o $(LIB)
	@echo LD $@; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/bench-account-order: $(BUILD)/bench/account_order.o $(LIB)
	@echo LD $@; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/bench-slow-servers: $(BUILD)/bench/slow_servers.o $(SIMULATOR_OBJECTS) $(LIB)
	@echo LD $@; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/bench-detector: $(BUILD)/bench/failure_detectors.o $(LIB)
	@echo LD $@; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

# The linker redirects two functions of the engine to those that measure them.
LEADER_COST_WRAP = -Wl,--wrap=ms_engine_run_placement -Wl,--wrap=ms_engine_store_dirty_jobs

$(BUILD)/bench-leader: $(BUILD)/bench/leader_cost.o $(LIB)
	@echo LD $@; $(CC) $(LDFLAGS) $(LEADER_COST_WRAP) -o $@ $^ $(LDLIBS)

$(BUILD)/example-%: $(BUILD)/examples/%.o $(LIB)
	@echo LD $@; $(CC) $(LDFLAGS) -o $@ $^ $(LDLIBS)

$(BUILD)/src/wire/inner.pb-c.o $(BUILD)/src/wire/batch.pb-c.o: WARN =

$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	@echo CC $<; $(CC) $(CPPFLAGS) $(CFLAGS) -Itests -MMD -MP -c -o $@ $<

$(BUILD)/%.o: %.cc
	@mkdir -p $(dir $@)
	@echo CXX $<; $(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -MP -c -o $@ $<

-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)

proto:
	cd src/wire && protoc-c --c_out=. inner.proto batch.proto

deps:
	scripts/install-packages.sh

clean:
	rm -rf build build-asan build-tsan

.PHONY: all proto deps clean

run: deps
	@$(MAKE) --no-print-directory all
	/usr/bin/python3 scripts/run_example.py $(RUN_OPTIONS)

.PHONY: run

tests: all $(BUILD)/unit-tests $(BUILD)/differential $(BUILD)/batch-unit $(BUILD)/batch-open-faults $(BUILD)/batch-fuzz $(BUILD)/reader-fuzz $(EXAMPLES)

check: deps
	@$(MAKE) --no-print-directory tests
	/usr/bin/python3 tests/check.py

lint: deps
	scripts/lint.sh

format:
	clang-format -i $(SOURCES)

asan:
	$(MAKE) BUILD=build-asan OPTIMISE="-O1 -g" SANITIZE="-fsanitize=address,undefined -fno-omit-frame-pointer" tests

tsan:
	$(MAKE) BUILD=build-tsan OPTIMISE="-O1 -g" SANITIZE="-fsanitize=thread" tests

.PHONY: tests check lint format asan tsan

bench: deps
	@$(MAKE) --no-print-directory $(BUILD)/bench-policy
	$(BUILD)/bench-policy

bench-account-order: deps
	@$(MAKE) --no-print-directory $(BUILD)/bench-account-order
	$(BUILD)/bench-account-order

bench-leader: deps
	@$(MAKE) --no-print-directory $(BUILD)/bench-leader
	$(BUILD)/bench-leader

.PHONY: bench bench-account-order bench-leader

bench-path: deps
	@$(MAKE) --no-print-directory all
	/usr/bin/python3 bench/request_overhead.py

slopes: deps
	@$(MAKE) --no-print-directory all
	/usr/bin/python3 bench/slopes.py $(BUILD)/slopes.txt
	/usr/bin/python3 bench/capacity.py $(BUILD)/slopes.txt

.PHONY: bench-path slopes

mutants: deps
	/usr/bin/python3 scripts/mutants.py

.PHONY: mutants
