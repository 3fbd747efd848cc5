# Targets: build, demo, test, check, prove, bench, docs, clean.

.PHONY: build demo test check docs clean

build:
	go build -o build/ ./cmd/...

demo: build
	scripts/demo.sh

test:
	go test ./...

# What CI runs besides the tests.
check:
	test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...
	go tool staticcheck ./...

generate:
	go generate ./...

clean:
	rm -rf build
