GOLANGCI_VERSION = v2.15.0
GOLANGCI = .tools/golangci-lint-$(GOLANGCI_VERSION)

.PHONY: all build test lint format ci

all: build

build:
	go build -o comfreystream .

test:
	go test -race ./...

lint: $(GOLANGCI)
	$(GOLANGCI) fmt --diff
	$(GOLANGCI) run

format: $(GOLANGCI)
	$(GOLANGCI) fmt

ci: lint build test

$(GOLANGCI):
	GOBIN=$(CURDIR)/.tools go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv .tools/golangci-lint $@
