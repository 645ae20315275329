# beamdoor: build, test and run. See README.md.

.PHONY: build demo test check sim bench scale faults

build:
	go build -o bin/ ./cmd/...

# The whole Patitas set-up on loopback with faults, in under 90 seconds.
demo: build
	bash scripts/demo.sh

test:
	go test ./...

# Formatter, vet and linter.
check:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	  if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./...
	go tool staticcheck ./...
