# Builds citroncleat, its tests and its benches.  `make help' lists targets.

VERSION  = 0.1.0
BUILD   ?= build
CC       = gcc
CFLAGS  ?= -O2 -g
PREFIX  ?= /usr/local
DESTDIR ?=

PACKAGES = apr-1 apr-util-1 msgpack libmicrohttpd libcurl argtable2 json-c \
           libxxhash libsodium
STANDARD = -std=gnu11 -Wall -Wextra -Werror -Isrc -I. \
           -DCITRONCLEAT_VERSION='"$(VERSION)"' \
           $(shell pkg-config --cflags $(PACKAGES) 2>/dev/null) -MMD -MP
LIBS     = $(shell pkg-config --libs $(PACKAGES) 2>/dev/null) -llog4c -lpthread -lm

SOURCES  = $(sort $(wildcard src/*/*.c) $(wildcard platform/*.c))
OBJECTS  = $(SOURCES:%.c=$(BUILD)/%.o)
MAIN     = $(BUILD)/src/main.o
BINARY   = $(BUILD)/citroncleat
STANDIN  = $(BUILD)/standin
STANDIN_SOURCES = $(sort $(wildcard tests/standin/*.c))
STANDIN_OBJECTS = $(STANDIN_SOURCES:%.c=$(BUILD)/%.o)

all: $(BINARY)

# Without the libraries make fails with one line, before it compiles anything.
HAVE_PACKAGES := $(shell pkg-config --exists $(PACKAGES) 2>/dev/null && echo yes)
packages:
	@[ -n "$(HAVE_PACKAGES)" ] || { echo "make: libraries are missing: run 'make setup' first" >&2; exit 1; }

$(BUILD)/%.o: %.c Makefile | packages
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) $(STANDARD) -c $< -o $@

$(BINARY): $(OBJECTS) $(MAIN)
	$(CC) $(CFLAGS) $^ -o $@ $(LIBS)

$(STANDIN): $(STANDIN_OBJECTS) $(OBJECTS)
	$(CC) $(CFLAGS) $^ -o $@ $(LIBS)

UNIT         = $(BUILD)/unit
UNIT_SOURCES = $(sort $(wildcard tests/unit/*.c)) bench/steer/cluster.c \
               $(filter-out bench/gateway/main.c,$(wildcard bench/gateway/*.c))
UNIT_OBJECTS = $(UNIT_SOURCES:%.c=$(BUILD)/%.o)

$(UNIT): $(UNIT_OBJECTS) $(OBJECTS)
	$(CC) $(CFLAGS) $^ -o $@ $(LIBS) -lcunit

MODEL         = $(BUILD)/model
MODEL_SOURCES = $(sort $(wildcard tests/model/*.c))
MODEL_OBJECTS = $(MODEL_SOURCES:%.c=$(BUILD)/%.o)

$(MODEL): $(MODEL_OBJECTS) $(OBJECTS)
	$(CC) $(CFLAGS) $^ -o $@ $(LIBS)

# Tests and tools.

setup:
	@sh scripts/setup.sh

check: setup
	@$(MAKE) -s -j$$(nproc) $(BINARY) $(STANDIN) $(UNIT) $(MODEL)
	@BUILD=$(BUILD) bash tests/run.sh

# The protocols as models, of which every reachable state is checked.
model: setup
	@$(MAKE) -s -j$$(nproc) $(MODEL)
	@$(MODEL)

# The same tests under the address and undefined-behaviour sanitizers.
check-sanitized: setup
	@$(MAKE) -s check BUILD=build-sanitized \
	  CFLAGS="$(SANITIZED)"

# Random faults in real processes; SEEDS as in tests/soak/run.sh.
SEEDS     ?= fresh:8
SOAK_JOBS ?= 4
soak: setup
	@$(MAKE) -s -j$$(nproc) $(BINARY) $(STANDIN)
	@BUILD=$(BUILD) SOAK_JOBS=$(SOAK_JOBS) bash tests/soak/run.sh $(SEEDS)

demo: setup
	@$(MAKE) -s -j$$(nproc) $(BINARY) $(STANDIN)
	@BUILD=$(BUILD) bash demo/run.sh $(or $(DEPLOYMENT),pryce)

lint:
	@EXTRA_PACKAGES="clang-format clang-tidy" sh scripts/setup.sh
	@sh scripts/lint.sh

bench: bench-path bench-steer bench-rush bench-fleet

bench-fleet: setup
	@$(MAKE) -s -j$$(nproc) $(BINARY) $(STANDIN)
	@BUILD=$(BUILD) bash bench/fleet.sh $(or $(DEPLOYMENT),pryce)

bench-slopes: setup
	@$(MAKE) -s -j$$(nproc) $(BINARY) $(STANDIN)
	@BUILD=$(BUILD) bash bench/slopes.sh

bench-recover: setup
	@$(MAKE) -s -j$$(nproc) $(BINARY) $(STANDIN)
	@BUILD=$(BUILD) bash bench/recover.sh

bench-steer: setup
	@$(MAKE) -s -j$$(nproc) $(BENCH_STEER)
	@$(BENCH_STEER)

bench-rush: setup
	@$(MAKE) -s -j$$(nproc) $(BENCH_RUSH)
	@$(BENCH_RUSH)

bench-heads: setup
	@$(MAKE) -s -j$$(nproc) $(BINARY) $(STANDIN)
	@BUILD=$(BUILD) bash bench/heads.sh

bench-path: setup
	@$(MAKE) -s -j$$(nproc) $(BINARY) $(STANDIN)
	@BUILD=$(BUILD) bash bench/path.sh

# The fuzzers need clang; each runs for FUZZ_SECONDS.
FUZZ_SECONDS ?= 20
FUZZERS = frame resource decode
fuzz:
	@EXTRA_PACKAGES="clang libclang-rt-14-dev" sh scripts/setup.sh
	@mkdir -p build-fuzz
	@for f in $(FUZZERS); do \
	  clang -O1 -g -fsanitize=fuzzer,address,undefined \
	    $(filter-out -MMD -MP,$(STANDARD)) tests/fuzz/$${f}_fuzz.c \
	    $(filter src/base/% src/peer/% src/resource/% src/plan/% src/balance/load.c platform/decode.c,$(SOURCES)) \
	    -o build-fuzz/$$f $(LIBS) || exit 1; \
	  mkdir -p build-fuzz/found-$$f; \
	  build-fuzz/$$f -max_total_time=$(FUZZ_SECONDS) -max_len=16384 \
	    -artifact_prefix=build-fuzz/ -print_final_stats=1 \
	    build-fuzz/found-$$f tests/fuzz/corpus/$$f >build-fuzz/$$f.log 2>&1 \
	    || { tail -40 build-fuzz/$$f.log; exit 1; }; \
	  echo "fuzz: $$f: $$(sed -n 's/stat::number_of_executed_units: *//p' build-fuzz/$$f.log) runs, no crash"; \
	done

# Random requests at a real gateway, with sizes around its own limits.
# FUZZ_WITHOUT: classes of faults to leave out (tests/standin/fuzz_callers.c).
FUZZ_SEEDS    ?= 1 2 3
FUZZ_REQUESTS ?= 2000
FUZZ_WITHOUT  ?=
SANITIZED = -O1 -g -fsanitize=address,undefined -fno-sanitize-recover=all
fuzz-gateway: setup
	@$(MAKE) -s -j$$(nproc) $(BINARY) $(STANDIN)
	@BUILD=$(BUILD) FUZZ_SEEDS="$(FUZZ_SEEDS)" FUZZ_REQUESTS=$(FUZZ_REQUESTS) \
	  FUZZ_WITHOUT=$(FUZZ_WITHOUT) bash tests/fuzz/gateway.sh

# The same under the address and undefined-behaviour sanitizers.
fuzz-gateway-sanitized: setup
	@$(MAKE) -s fuzz-gateway BUILD=build-sanitized CFLAGS="$(SANITIZED)"

install: $(BINARY)
	install -D -m 755 $(BINARY) $(DESTDIR)$(PREFIX)/bin/citroncleat
	install -D -m 644 share/citroncleat.1 \
	  $(DESTDIR)$(PREFIX)/share/man/man1/citroncleat.1
	install -D -m 644 share/citroncleat.bash \
	  $(DESTDIR)$(PREFIX)/share/bash-completion/completions/citroncleat

help:
	@echo "make             build build/citroncleat"
	@echo "make demo        run a whole deployment under load and check what callers get"
	@echo "                 (DEPLOYMENT=holzgleis, DEMO_KEEP=1)"
	@echo "make check       run all tests"
	@echo "make model       check every state of the protocols' models"
	@echo "make check-sanitized  the same under ASan and UBSan"
	@echo "make soak        inject random faults into real processes (SEEDS=, SOAK_JOBS=)"
	@echo "make lint        clang-format and clang-tidy"
	@echo "make bench       run the benches, which print 'figure' lines"
	@echo "make bench-fleet  steering with real processes (DEPLOYMENT=)"
	@echo "make bench-heads  peak of a gateway's memory at all its connections"
	@echo "make bench-recover  effects of failures on operators and callers"
	@echo "make bench-slopes  cost of control messages at 11, 50 and 100 entries"
	@echo "make fuzz        fuzz the decoders (FUZZ_SECONDS=N each)"
	@echo "make fuzz-gateway  random requests at a real gateway, and the rules checked"
	@echo "                 (FUZZ_SEEDS=, FUZZ_REQUESTS=N each, FUZZ_WITHOUT=copies)"
	@echo "make fuzz-gateway-sanitized  the same under ASan and UBSan"
	@echo "make install     DESTDIR= PREFIX=/usr/local"

BENCH_STEER         = $(BUILD)/bench-steer
BENCH_STEER_SOURCES = $(sort $(wildcard bench/steer/*.c))
BENCH_STEER_OBJECTS = $(BENCH_STEER_SOURCES:%.c=$(BUILD)/%.o)

$(BENCH_STEER): $(BENCH_STEER_OBJECTS) $(OBJECTS)
	$(CC) $(CFLAGS) $^ -o $@ $(LIBS)

BENCH_RUSH         = $(BUILD)/bench-rush
BENCH_RUSH_SOURCES = $(sort $(wildcard bench/gateway/*.c))
BENCH_RUSH_OBJECTS = $(BENCH_RUSH_SOURCES:%.c=$(BUILD)/%.o)

$(BENCH_RUSH): $(BENCH_RUSH_OBJECTS) $(OBJECTS)
	$(CC) $(CFLAGS) $^ -o $@ $(LIBS)

clean:
	rm -rf build build-sanitized build-fuzz target

-include $(OBJECTS:.o=.d) $(MAIN:.o=.d) $(STANDIN_OBJECTS:.o=.d) \
         $(UNIT_OBJECTS:.o=.d) $(MODEL_OBJECTS:.o=.d) $(BENCH_STEER_OBJECTS:.o=.d) \
         $(BENCH_RUSH_OBJECTS:.o=.d)

.PHONY: all packages setup soak check model check-sanitized demo lint bench bench-path bench-steer bench-rush \
        bench-slopes bench-fleet bench-heads bench-recover fuzz \
        fuzz-gateway fuzz-gateway-sanitized \
        install help clean
