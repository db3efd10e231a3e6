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
           $(shell pkg-config --cflags $(PACKAGES)) -MMD -MP
LIBS     = $(shell pkg-config --libs $(PACKAGES)) -llog4c -lpthread -lm

SOURCES  = $(sort $(wildcard src/*/*.c))
OBJECTS  = $(SOURCES:%.c=$(BUILD)/%.o)
MAIN     = $(BUILD)/src/main.o
BINARY   = $(BUILD)/citroncleat
STANDIN  = $(BUILD)/standin
STANDIN_SOURCES = $(sort $(wildcard tests/standin/*.c))
STANDIN_OBJECTS = $(STANDIN_SOURCES:%.c=$(BUILD)/%.o)

all: $(BINARY)

$(BUILD)/%.o: %.c Makefile
	@mkdir -p $(@D)
	$(CC) $(CFLAGS) $(STANDARD) -c $< -o $@

$(BINARY): $(OBJECTS) $(MAIN)
	$(CC) $(CFLAGS) $^ -o $@ $(LIBS)

$(STANDIN): $(STANDIN_OBJECTS) $(OBJECTS)
	$(CC) $(CFLAGS) $^ -o $@ $(LIBS)

clean:
	rm -rf $(BUILD)

-include $(OBJECTS:.o=.d) $(MAIN:.o=.d) $(STANDIN_OBJECTS:.o=.d)

.PHONY: all clean
