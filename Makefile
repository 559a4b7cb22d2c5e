GO ?= go
BIN := bin

.PHONY: all build test test-long demo bench fuzz clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

test:
	scripts/test.sh

test-long:
	LONG=1 scripts/test.sh

demo: build
	scripts/demo.sh

bench: build
	$(BIN)/burdockbench measure -out bench/out

clean:
	rm -rf $(BIN) bench/out
