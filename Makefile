# beamdoor: build, test and run. See README.md.

.PHONY: tools build demo demo-platform test check smoke sim bench drawn drawn-processes faults fuzz soak soak-program soak-regressions

SEEDS ?= 1-50
MINUTES ?= 3

# Tools for contributors; the build does not need them.
tools:
	go install golang.org/x/tools/gopls@v0.23.0

build:
	go build -o bin/ ./cmd/...

# Runs the Patitas deployment on loopback and injects faults.
demo: build
	bash scripts/demo.sh

# Runs real edge and member processes against the platform stand-in and injects
# faults.
demo-platform: build
	bin/beamdoor-fleet

test:
	go test ./...

# Starts all processes for a short run under load, without faults.
smoke: build
	bash scripts/smoke.sh
	bin/beamdoor-fleet --quick

# Checks formatting, vet, staticcheck and forbidden platform names.
check:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	  if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./...
	go vet -tags soak ./internal/faultlayer
	go tool staticcheck ./...
	bash scripts/check-platform.sh

# Runs all simulated scenarios for both deployments, on a virtual clock.
sim: build
	bin/beamdoor-lab sim --scenario all --seeds $(SEEDS) --setup patitas
	bin/beamdoor-lab sim --scenario all --seeds $(SEEDS) --setup perth
	BEAMDOOR_FLEET_SEEDS=200 go test ./internal/lab/fleetsim -run MixedFaults
	BEAMDOOR_FAULT_SEEDS=1000 go test ./internal/registry -run RandomFaults
	BEAMDOOR_START_SEEDS=500 go test ./internal/registry -run StartsUnderRandomFaults

# Only compare results within one run; absolute times depend on the machine.
bench:
	go test -run '^$$' -bench . -benchtime 1s ./internal/routing
	go test -run '^$$' -bench . -benchtime 3x ./internal/balancer
	go test -run '^$$' -bench . -benchtime 300x ./internal/wal
	go test -run "^$$$$" -bench . -benchtime 5x ./internal/store

# Injects faults into real processes under load.
faults: build
	bash scripts/faults.sh

# Builds beamdoor-node with the fault injection layer for soak tests.
soak-program: build
	go build -tags soak -o bin/beamdoor-node-soak ./cmd/beamdoor-node

# Injects random faults into real processes; SEED=N replays a run.
soak: soak-program
	bin/beamdoor-lab soak --minutes $(MINUTES) --seed $(or $(SEED),0) --report run/soak

# Runs randomly generated deployments: drawn in the simulator, drawn-processes with
# real processes.
drawn: build
	bin/beamdoor-lab drawn --seeds $(SEEDS)

drawn-processes: soak-program
	bin/beamdoor-lab drawn --processes --seeds $(or $(filter-out 1-50,$(SEEDS)),1-20)

# Replays the soak seeds that failed before.
soak-regressions: soak-program
	bash scripts/soak-regressions.sh

# Runs every fuzz target for a fixed time.
fuzz:
	@for target in $$(grep -rlE '^func Fuzz' --include=*_test.go internal platform); do \
	  for name in $$(sed -nE 's/^func (Fuzz[A-Za-z]+).*/\1/p' $$target); do \
	    go test -run '^$$' -fuzz "^$$name$$" -fuzztime 20s ./$$(dirname $$target) || exit 1; \
	  done; \
	done
