GOLANGCI_VERSION := v2.15.0
GOLANGCI := $(shell go env GOPATH)/bin/golangci-lint-$(GOLANGCI_VERSION)

.PHONY: build test race crowds lint docs demo bench fuzz

build:
	go build -o bin/currantknot ./cmd/currantknot

# Known faults are passed over by name; KNOWN-RED.txt tells why.
KNOWN_RED := $(shell sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|')

test:
	cat KNOWN-RED.txt
	go test -race -count=1 -timeout 20m $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./...

race: test

# The crowds measure the memory of processes: without the race detector, one at a time, and beside nothing else.
crowds:
	go test -tags crowd -count=1 -p 1 -timeout 40m -run '^TestCrowd' $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$') ./platform ./internal/integration

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

# The targets read bytes that another writer may have made.
FUZZ_TIME := 20s
FUZZ := go test -run '^$$' -fuzztime $(FUZZ_TIME)

fuzz:
	$(FUZZ) -fuzz FuzzParse ./pkg/document
	$(FUZZ) -fuzz FuzzDecode ./internal/record
	$(FUZZ) -fuzz FuzzReadFrame ./internal/peer
	$(FUZZ) -fuzz FuzzCheck ./internal/msgpackcheck
	$(FUZZ) -fuzz FuzzDecodeSpec ./internal/jobs
	$(FUZZ) -fuzz FuzzRestore ./internal/jobs
	$(FUZZ) -fuzz FuzzApplyRecord ./internal/jobserve
	$(FUZZ) -fuzz FuzzReadMessage ./internal/relay
	$(FUZZ) -fuzz FuzzRestoreSnapshot ./internal/dispatch
	$(FUZZ) -fuzz FuzzRestore ./internal/runtimes
	$(FUZZ) -fuzz FuzzDecodeConfiguration ./platform
	$(FUZZ) -fuzz FuzzDecodeWorkerEntry ./platform
	$(FUZZ) -fuzz FuzzDecodeReport ./platform
	$(FUZZ) -fuzz FuzzParseWave ./platform
	$(FUZZ) -fuzz FuzzDecodePage ./platform
