# Task list; .ci/run calls check, test and race.
TOOL  := go tool -modfile=tools/go.mod
FILES := $(shell git ls-files '*.go' | grep -vE '\.pb\.go$$|\.connect\.go$$')
# Tests listed in KNOWN-RED.txt are skipped and printed; every other test must pass.
RED   := $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')
SKIP  := $(if $(RED),-skip '^($(RED))$$',)

.PHONY: check test race bench generate format

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

bench:
	go test -run '^$$' -bench . -benchmem ./...

format:
	$(TOOL) gofumpt -w $(FILES)

generate:
	cd tools && go build -o ../bin/ tool
	PATH="$(CURDIR)/bin:$$PATH" buf generate
