CC = gcc
PKGS = ck libprotobuf-c libmicrohttpd libcurl glib-2.0 inih jansson libxxhash \
	libsodium yaml-0.1
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes \
	-Wno-sign-compare -Werror
# vsnprintf() truncates on purpose where a field has a size limit.
WARN += -Wno-format-truncation -Wno-stringop-truncation
CFLAGS = -std=gnu11 -O2 -g -pthread -I. $(WARN) $(foreach p,$(PKGS),$(shell pkg-config --cflags $(p) 2>/dev/null))
LIBS = $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lhttp_parser -lm -pthread
PACKAGES = base policy store endpoint peer operator caller control entry
B = build
# V=1 prints each command.
Q = $(if $(V),,@)
# SAN selects a sanitizer: empty, address or thread. Each has its own objects.
SAN =
ifneq ($(SAN),)
CFLAGS += -fno-omit-frame-pointer
endif
ifeq ($(SAN),address)
CFLAGS += -fsanitize=address,undefined -fno-sanitize-recover=undefined
endif
ifeq ($(SAN),thread)
CFLAGS += -fsanitize=thread
endif
O = $(B)/o$(SAN)

LIBSRC = $(foreach p,$(PACKAGES),$(wildcard $(p)/*.c))
LIB = $(O)/libebonypitch.a
# The daemon's code; a separate archive, since file names recur in LIB.
SERVESRC = $(foreach p,net platform serve,$(wildcard $(p)/*.c))
SERVELIB = $(O)/libserve.a
CMDS = $(patsubst cmd/%.c,$(B)/bin/%,$(wildcard cmd/*.c))
# These are programs; the other files in standin/ are shared by them.
STANDIN = platform engine service deployment
STANDINS = $(patsubst standin/%.c,$(B)/bin/standin-%,$(wildcard $(STANDIN:%=standin/%.c)))
STANDLIB = $(patsubst %.c,$(O)/%.o,$(filter-out $(STANDIN:%=standin/%.c),$(wildcard standin/*.c)))
# Shared by the load tool and its tests; the other files are programs.
LOADPART = answer drive plan print records send
BENCHES = $(patsubst bench/%.c,$(B)/bin/%,$(filter-out $(LOADPART:%=bench/%.c),$(wildcard bench/*.c)))
BENCHLIB = $(LOADPART:%=$(O)/bench/%.o)
# *_test.c are unit tests; *_proc.c start real processes.
UNIT = $(patsubst tests/%.c,$(O)/tests/%,$(wildcard tests/*_test.c))
PROC = $(patsubst tests/%.c,$(O)/tests/%,$(wildcard tests/*_proc.c))
TESTLIB = $(patsubst tests/%.c,$(O)/tests/%.o,$(filter-out %_test.c %_proc.c,$(wildcard tests/*.c)))
OBJ = $(patsubst %.c,$(O)/%.o,$(LIBSRC))
SRC = $(filter-out %.pb-c.c,$(LIBSRC) $(SERVESRC)) $(wildcard cmd/*.c standin/*.c bench/*.c tests/*.c)
HDR = $(filter-out %.pb-c.h,$(wildcard $(PACKAGES:%=%/*.h) net/*.h platform/*.h serve/*.h standin/*.h bench/*.h tests/*.h))
DEPLOYMENT = granite-ridge

# Objects and libraries of the daemon alone. deploy/system.toml builds it with
# B=target, on a machine without the other libraries.
DAEMON = base net platform serve
DAEMONPOLICY = allowance assign assign_room blame blame_table breaker buffer_account call_limit coverage domain_choice giver keeper leadership leaving liveness pace reach retries retry_after software stream_table wait \
	watchers workload
DAEMONLIBS = $(shell pkg-config --libs libprotobuf-c glib-2.0 jansson libxxhash ck inih yaml-0.1 2>/dev/null) \
	-lhttp_parser -lm -pthread
DAEMONOBJ = $(patsubst %.c,$(O)/%.o,$(foreach p,$(DAEMON),$(wildcard $(p)/*.c))) \
	$(DAEMONPOLICY:%=$(O)/policy/%.o) $(O)/cmd/ebonypitchd.o

.PHONY: all deps programs check unit proc sanitize demo up prove bench soak \
	format lint proto clean
all: deps programs
deps:
	@tools/deps
programs: $(CMDS) $(STANDINS) $(BENCHES) $(B)/bin/ebonypitchd-production
# The daemon in service, for tests of upgrades.
$(B)/bin/ebonypitchd-production: deploy/system.toml tools/production
	-$(Q)tools/production $(B)

$(O)/%.o: %.c
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) -MMD -MP -c -o $@ $<
$(O)/%.pb-c.o: %.pb-c.c
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) -Wno-shadow -MMD -MP -c -o $@ $<
$(SERVELIB): $(patsubst %.c,$(O)/%.o,$(SERVESRC))
	@rm -f $@
	$(Q)ar rcs $@ $^
$(LIB): $(OBJ)
	@rm -f $@
	$(Q)ar rcs $@ $^
$(B)/bin/standin-%: $(O)/standin/%.o $(STANDLIB) $(SERVELIB) $(LIB)
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) -o $@ $^ $(LIBS)
$(B)/bin/ebonypitchd: $(DAEMONOBJ)
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) -o $@ $^ $(DAEMONLIBS)
$(B)/bin/%: $(O)/cmd/%.o $(LIB)
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) -o $@ $^ $(LIBS)
$(B)/bin/%: $(O)/bench/%.o $(BENCHLIB) $(STANDLIB) $(SERVELIB) $(LIB)
	@mkdir -p $(@D)
	$(Q)$(CC) $(CFLAGS) -o $@ $^ $(LIBS)
$(O)/tests/%: $(O)/tests/%.o $(TESTLIB) $(BENCHLIB) $(STANDLIB) $(SERVELIB) $(LIB)
	$(Q)$(CC) $(CFLAGS) -o $@ $^ $(LIBS)
.SECONDARY:

# tools/runtests fails on any failed test that KNOWN-RED.txt doesn't list.
check: deps
	@$(MAKE) --no-print-directory -j8 programs unit-build proc-build
	@$(MAKE) --no-print-directory -j8 SAN=address unit-build
	@$(MAKE) --no-print-directory -j8 SAN=thread tsan-build
	@tools/runtests $(B)
unit-build: $(UNIT)
proc-build: $(PROC)
TSAN = $(O)/tests/ring_test $(O)/tests/peer_test
tsan-build: $(filter $(UNIT),$(TSAN))
unit: deps
	@$(MAKE) --no-print-directory -j8 unit-build
	@tools/runtests $(B) unit
proc: deps
	@$(MAKE) --no-print-directory -j8 programs proc-build
	@tools/runtests $(B) proc

demo: deps
	@$(MAKE) --no-print-directory -j8 programs
	@tools/demo $(DEPLOYMENT)
up: deps
	@$(MAKE) --no-print-directory -j8 programs
	@tools/demo -u $(DEPLOYMENT)
prove: deps
	@$(MAKE) --no-print-directory -j8 programs proc-build
	@tools/prove
SEEDS = 1-50
soak: deps
	@$(MAKE) --no-print-directory -j8 programs proc-build
	@SOAK_SEEDS="$(SEEDS)" $(O)/tests/soak_proc --tap -k
bench: deps
	@$(MAKE) --no-print-directory -j8 programs
	@tools/bench

format:
	clang-format -i $(SRC) $(HDR)
lint:
	@clang-format --dry-run --Werror $(SRC) $(HDR)
	@mkdir -p $(B)
	@printf '%s\n' $(SRC) | xargs -P 12 -n 2 sh -c 'clang-tidy --quiet "$$@" -- $(filter-out -O2 -g -W%,$(CFLAGS)) 2>/dev/null' tidy
	@for m in $(wildcard man/*.[1-8]); do mandoc -T lint -W warning $$m || exit 1; done
proto:
	protoc-c --c_out=. peer/wire.proto
	protoc-c --c_out=. serve/digest_parts.proto serve/digest.proto
clean:
	rm -rf $(B)

-include $(shell find $(B) -name '*.d' 2>/dev/null)
