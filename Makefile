GOLANGCI_VERSION = v2.15.0
GOLANGCI = .tools/golangci-lint-$(GOLANGCI_VERSION)

.PHONY: all build test lint format ci capacity

all: build

build:
	go build -o comfreystream .

test:
	.ci/test

lint: $(GOLANGCI)
	$(GOLANGCI) fmt --diff
	$(GOLANGCI) run

format: $(GOLANGCI)
	$(GOLANGCI) fmt

ci: lint build test

$(GOLANGCI):
	GOBIN=$(CURDIR)/.tools go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv .tools/golangci-lint $@

BENCH = go test -run xxx -count 3 -bench

# capacity prints the slopes of docs/CAPACITY.md; it takes some minutes.
capacity:
	$(BENCH) 'Calls' -benchtime 500x ./protocol/worker
	$(BENCH) 'Call$$|Racks' -benchtime 500x ./protocol/peer
	$(BENCH) 'Traffic/members=.*/day' -benchtime 1x -count 1 ./protocol/gossip
	$(BENCH) 'Processor' -benchtime 1x -count 1 ./protocol/gossip
	$(BENCH) 'Memory' -benchtime 3x ./coordination/lease
	$(BENCH) 'Adopt' -benchtime 3x ./coordination/dispatch
	$(BENCH) 'StoreCalls' -benchtime 3x -count 1 ./coordination/rollout
	$(BENCH) 'Receive' -benchtime 200x ./coordination/rollout
	$(BENCH) '.' -benchtime 200x ./coordination/claim
	$(BENCH) '.' -benchtime 200x ./coordination/ledger
	$(BENCH) 'Waiting' -benchtime 1x ./transport
	$(BENCH) 'EmptyHandler|OneSlotJob' -benchtime 2000x ./standin/fleet
	$(BENCH) 'Idle' -benchtime 1x -count 1 ./standin/fleet
	$(BENCH) 'Distinct' -benchtime 1x -count 1 ./coordination/estimate
