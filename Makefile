# Task list; .ci/run calls check, test and race.
TOOL  := go tool -modfile=tools/go.mod
FILES := $(shell git ls-files '*.go' | grep -vE '\.pb\.go$$|\.connect\.go$$')
# Tests listed in KNOWN-RED.txt are skipped and printed; every other test must pass.
RED   := $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')
SKIP  := $(if $(RED),-skip '^($(RED))$$',)

.PHONY: check test race soak stopsoak bench capacity resident generate format

check:
	@out="$$($(TOOL) gofumpt -l $(FILES))"; if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi
	go vet ./...
	$(TOOL) revive -config revive.toml -set_exit_status -exclude ./core/wire/... -exclude ./io/rpc/... ./...
	$(TOOL) staticcheck ./...
	go build -o /dev/null .

test:
	@if [ -n "$(RED)" ]; then echo "known red, skipped:"; grep -v '^#' KNOWN-RED.txt; fi
	go test $(SKIP) ./...

race:
	go test -race -short $(SKIP) ./...

# Plays fresh seeds of the fault soaks for some minutes; a seed that fails belongs into soakFailed of io/demo/soak_test.go,
# replicaSoakFailed of platform/replicasoak_test.go or leaveSoakFailed of platform/leavesoak_test.go.
soak:
	go test ./io/demo -run 'TestSoak$$' -v -soak.first 0 -soak.seeds 10 -soak.length 20s -timeout 30m
	go test ./platform -run 'TestReplicaSoak$$' -v -replicasoak.first 0 -replicasoak.seeds 10 -timeout 30m
	go test ./platform -run 'TestLeaveSoak$$' -v -leavesoak.first 0 -leavesoak.seeds 10 -timeout 30m

# Plays fresh seeds of the soak of planned stops; a seed that fails belongs into stopSoakList of platform/stopsoak_test.go.
stopsoak:
	go test ./platform -run 'TestStopSoak$$' -v -count=1 -stopsoak.first 0 -stopsoak.seeds 10 -stopsoak.length 12s -stopsoak.failed -timeout 30m

bench:
	go test -run '^$$' -bench . -benchmem ./...

# Prints the figures of docs/CAPACITY.md, one line for each benchmark.
capacity:
	@{ go test -run '^$$' -bench 'Capacity(Join|Version|Tracker|Leases)' -benchtime 200ms $(CAPACITY) && \
	go test -run '^$$' -bench 'Capacity(Heap|Peers|Storm|Spread)' -benchtime 1x ./io/peer ./io/hop; } | awk '/^Benchmark/ { \
	sub(/^BenchmarkCapacity/, "", $$1); sub(/-[0-9]+$$/, "", $$1); printf "%-42s", $$1; \
	for (i = 3; i < NF; i += 2) if (!($$i == 0 && $$(i+1) == "ns/op") && !($$(i+1) == "ns/op" && /^(Heap|Peers|Storm|Spread)/)) printf "  %s %s", $$i, $$(i+1); \
	print "" } /FAIL|panic/'
	@$(MAKE) -s resident

CAPACITY := ./io/peer ./io/host ./core/relay ./core/lease

# Measures one node process that follows a stand-in source of 2,100 nodes, and one leading replica of 525 and 2,100 nodes.
resident:
	@docs/capacity.sh

format:
	$(TOOL) gofumpt -w $(FILES)

generate:
	cd tools && go build -o ../bin/ tool
	PATH="$(CURDIR)/bin:$$PATH" buf generate
