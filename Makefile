VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo development)
GO_BUILD = go build -trimpath -ldflags "-X main.version=$(VERSION)"

.PHONY: build test lint demo run matrix bench ci

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

bench:
	go test -run '^$$' -bench . -benchmem ./...

ci:
	bash .ci/run
