GO ?= go
BIN := bin
MODULES := $(shell sed -n 's|^\t\./||p' go.work)
PACKAGES := $(addprefix ./,$(addsuffix /...,$(MODULES)))

.PHONY: build check fmt test proto demo bench matrix

build:
	$(GO) build -o $(BIN)/ ./peridotcrank ./testbed

# Fails when a file is not formatted or a linter reports a finding.
check:
	@unformatted=$$(gofmt -l $(MODULES)); if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	$(GO) vet $(PACKAGES)
	$(GO) tool staticcheck $(PACKAGES)

# Runs the whole path in separate processes on loopback; under 60 s.
demo: build
	./scripts/demo.sh

# Runs processes under injected faults, one row per case; CASES selects some.
matrix: build
	./scripts/matrix.sh $(CASES)

fmt:
	gofmt -w $(MODULES)

test:
	$(GO) test -race -count=1 work

proto:
	cd tools && $(GO) run ./protogen ../peer/peerpb peer.proto
