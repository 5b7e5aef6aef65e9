# Common development tasks. `make test` is the complete check that CI runs.
.PHONY: build test lint run toy edge demo bench faults same-decisions

build:
	cargo build --release --locked

test:
	./test.sh

lint:
	cargo fmt --all --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# runs the router with both fronts and the example configuration; run `make toy` in another terminal
# SIGHUP (kill -HUP PID) makes the router read examples/config.json again
run: build
	target/release/stilespan serve --config examples/config.json --batch examples/batch.toml

# runs a demonstration with fake model servers: a streamed answer, a class set, a request that
# exceeds a budget, and the state of that budget
demo: build
	cargo run --release --locked --example demo target/release/stilespan

# benchmarks: the cost of decisions, one balancer compared with one per pool, the edge under load;
# see docs/measurements
bench:
	cargo bench --locked --bench decisions --bench pools --bench edge

# runs the router as `make run` does, with the edge: models, budgets and the key of
# docs/operate/models-and-budgets.md
edge: build
	target/release/stilespan serve --config examples/config.json --batch examples/batch.toml --edge examples/edge.toml

# runs two toy model servers on the addresses of examples/inventory.yaml
toy:
	cargo build --release --locked --example toy_server
	target/release/examples/toy_server 127.0.0.1:9101 & \
	  trap "kill $$!" EXIT INT TERM; target/release/examples/toy_server 127.0.0.1:9102

# runs the fault tests with many seeds (FROM-TO): every accepted request ends exactly once, with
# working system calls, with failing ones, and with crowds of other clients; takes some minutes
SEEDS ?= 1-200
faults:
	FAULT_SEEDS=$(SEEDS) cargo test --locked --test faults every -- --nocapture

# compares the decision module's replies with those of the commit BASE byte for byte; takes some
# minutes
BASE ?= HEAD
same-decisions:
	tests/same_decisions.sh $(BASE)
