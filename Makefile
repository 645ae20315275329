# beamdoor: build, test and run. See README.md.

.PHONY: build demo demo-platform test check smoke sim bench drawn drawn-processes faults fuzz soak soak-program soak-regressions

SEEDS ?= 1-50
MINUTES ?= 3

build:
	go build -o bin/ ./cmd/...

# The whole Patitas set-up on loopback with faults, in under 90 seconds.
demo: build
	bash scripts/demo.sh

# Real edge and member processes against the stand-in of the users' platform,
# with faults, in under a minute.
demo-platform: build
	bin/beamdoor-fleet

test:
	go test ./...

# The whole set-up as separate processes for a few seconds, without faults.
smoke: build
	bash scripts/smoke.sh
	bin/beamdoor-fleet --quick

# Formatter, vet and linter.
check:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go')); \
	  if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	go vet ./...
	go vet -tags soak ./internal/faultlayer
	go tool staticcheck ./...
	bash scripts/check-platform.sh

# Every scenario on a virtual clock, for both set-ups.
sim: build
	bin/beamdoor-lab sim --scenario all --seeds $(SEEDS) --setup patitas
	bin/beamdoor-lab sim --scenario all --seeds $(SEEDS) --setup perth
	BEAMDOOR_FLEET_SEEDS=200 go test ./internal/lab/fleetsim -run MixedFaults
	BEAMDOOR_FAULT_SEEDS=1000 go test ./internal/registry -run RandomFaults
	BEAMDOOR_START_SEEDS=500 go test ./internal/registry -run StartsUnderRandomFaults

# Ratios within one run; absolute times depend on the machine.
bench:
	go test -run '^$$' -bench . -benchtime 1s ./internal/routing
	go test -run '^$$' -bench . -benchtime 3x ./internal/balancer
	go test -run '^$$' -bench . -benchtime 300x ./internal/wal
	go test -run "^$$$$" -bench . -benchtime 5x ./internal/store

# Faults on real processes while load runs.
faults: build
	bash scripts/faults.sh

# The program with the layer of faults that only the soak uses.
soak-program: build
	go build -tags soak -o bin/beamdoor-node-soak ./cmd/beamdoor-node

# Random faults on real processes, with a fresh seed; SEED=N plays one again.
soak: soak-program
	bin/beamdoor-lab soak --minutes $(MINUTES) --seed $(or $(SEED),0) --report run/soak

# Deployments drawn at random, in the simulator and with real processes.
drawn: build
	bin/beamdoor-lab drawn --seeds $(SEEDS)

drawn-processes: soak-program
	bin/beamdoor-lab drawn --processes --seeds $(or $(filter-out 1-50,$(SEEDS)),1-20)

# All seeds that ever failed.
soak-regressions: soak-program
	bash scripts/soak-regressions.sh

# Each fuzz target for a while.
fuzz:
	@for target in $$(grep -rlE '^func Fuzz' --include=*_test.go internal platform); do \
	  for name in $$(sed -nE 's/^func (Fuzz[A-Za-z]+).*/\1/p' $$target); do \
	    go test -run '^$$' -fuzz "^$$name$$" -fuzztime 20s ./$$(dirname $$target) || exit 1; \
	  done; \
	done
