# What a developer needs day by day; `make test` is the whole check that CI runs.
.PHONY: build test lint run toy edge demo bench faults same-decisions

build:
	cargo build --release --locked

test:
	./test.sh

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# both fronts on the example's configuration; start `make toy` beside it
# SIGHUP (kill -HUP PID) makes it read examples/config.json anew
run: build
	target/release/stilespan serve --config examples/config.json --batch examples/batch.toml

# one of each against fake model servers: a streamed answer, a class set, a refused request and the budget that refused it
demo: build
	cargo run --release --locked --example demo target/release/stilespan

# what decisions cost, one balancer beside one a pool, the edge under load: docs/measurements
bench:
	cargo bench --locked --bench decisions --bench pools --bench edge

# the same with the edge: models, budgets and the key of docs/operate/models-and-budgets.md
edge: build
	target/release/stilespan serve --config examples/config.json --batch examples/batch.toml --edge examples/edge.toml

# two toy model servers, where examples/inventory.yaml has them
toy:
	cargo build --release --locked --example toy_server
	target/release/examples/toy_server 127.0.0.1:9101 & \
	  trap "kill $$!" EXIT INT TERM; target/release/examples/toy_server 127.0.0.1:9102

# the fault test over many seeds (FROM-TO), some minutes: every accepted request ends once, with sound system calls and
# with failing ones
SEEDS ?= 1-200
faults:
	FAULT_SEEDS=$(SEEDS) cargo test --locked --test faults every -- --nocapture

# shows that the decision module decides as at the commit BASE, byte for byte, some minutes
BASE ?= HEAD
same-decisions:
	tests/same_decisions.sh $(BASE)
