VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo development)
GO_BUILD = go build -trimpath -ldflags "-X main.version=$(VERSION)"
MATRIX_PACKAGES = ./membership ./configuration ./limits ./operations ./alert ./dispatch

.PHONY: build test lint demo run matrix measure bench ci

build:
	$(GO_BUILD) -o bin/catkinspring ./cmd/catkinspring
	$(GO_BUILD) -o bin/standin ./cmd/standin

test:
	go test -race -timeout 10m ./...

lint:
	.ci/lint

demo: build
	bin/standin demo --binary bin/catkinspring

run: build
	bin/standin demo --binary bin/catkinspring --keep

# Prints one line per module and a total. MATRIX_CELL=<name of a cell> repeats one cell with its trace.
matrix:
	.ci/matrix $(MATRIX_PACKAGES)

# Runs both deployments through all phases and compares them with the naive entry host
# and the last recorded run. LONG=1 makes phases four times as long, RECORD=1 rewrites
# docs/measurements/last.json, JSON=FILE and PLOTS=DIR write results and plots.
SCENARIOS ?= examples/scenarios/cooperative.jsonc examples/scenarios/authority.jsonc

measure: build
	bin/standin measure --binary bin/catkinspring --version "$(VERSION)" $(if $(LONG),--scale 4) $(if $(RECORD),--record) \
		$(if $(JSON),--json "$(JSON)") $(if $(PLOTS),--plots "$(PLOTS)") $(SCENARIOS)

bench:
	go test -run '^$$' -bench . -benchmem ./...

ci:
	bash .ci/run
