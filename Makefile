GOLANGCI_VERSION := v2.15.0
GOLANGCI := $(shell go env GOPATH)/bin/golangci-lint-$(GOLANGCI_VERSION)

.PHONY: build test race lint docs demo bench fuzz

build:
	go build -o bin/currantknot ./cmd/currantknot

# Known faults are passed over by name; KNOWN-RED.txt tells why.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|')

test:
	cat KNOWN-RED.txt
	go test -race -count=1 $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...

race: test

$(GOLANGCI):
	GOBIN=$(CURDIR)/bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mkdir -p $(dir $(GOLANGCI))
	mv bin/golangci-lint $(GOLANGCI)

lint: $(GOLANGCI)
	$(GOLANGCI) run ./...

docs:
	go test ./internal/settings -run TestSettingsDocument -update
	go test ./internal/serve -run TestMetricsDocument -update
	go test ./internal/jobserve -run TestMetricsDocument -update

demo: build
	bin/currantknot demo

bench:
	go test ./internal/... -run '^$$' -bench . -benchtime 1x

fuzz:
	go test ./pkg/document -run '^$$' -fuzz FuzzParse -fuzztime 20s
	go test ./internal/record -run '^$$' -fuzz FuzzDecode -fuzztime 20s
	go test ./internal/peer -run '^$$' -fuzz FuzzReadFrame -fuzztime 20s
	go test ./platform -run '^$$' -fuzz FuzzDecodeConfiguration -fuzztime 20s
	go test ./internal/runtimes -run '^$$' -fuzz FuzzRestore -fuzztime 20s
