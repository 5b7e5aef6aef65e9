//! The configuration that routers under test are started with.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::discovery::{self, LOCALITIES};

/// Maximum age of a router's endpoint list before the router must poll (`must-ask-in`), in
/// milliseconds.
pub(crate) const STALENESS_BOUND_MS: u64 = 2_000;

/// The configuration of one of several routers, in the form in which the platform writes it: with
/// health checks, load reports, several zones and prices, as every site has them. The listening
/// address is added when the process is started.
pub fn router_config(
    routers: usize,
    router: usize,
    discovery: SocketAddr,
    servers: &[SocketAddr],
) -> Value {
    json!({"name": format!("n{router}"), "discovery": discovery.to_string(),
        "seed": format!("{:016x}", 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(router as u64 + 1)),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery::initial_list(servers),
        "settings": settings(routers, router)})
}

fn settings(routers: usize, router: usize) -> Value {
    json!({"n-instances": routers, "me": router, "zone": router % LOCALITIES.len(), "period": 0.002,
        "discovery": "ask", "localities": LOCALITIES, "kinds": ["m"], "weights": "nominal",
        "classes": [{"name": "hint", "objective": 0.4, "deadline": 1.5, "effect": "read_like",
            "streaming": true, "credit": 3.0, "late-worth": 0.0}],
        "specifics": {"aim-us-per-1000-prompt-tokens": [60000.0], "token-aim": [0.06], "resume": true},
        "guarantees": {"drain-grace": 0.5, "fall": 1.5, "fall-multiple": 4.0,
            "must-ask-in": STALENESS_BOUND_MS as f64 / 1e3, "start-capacity": 0.3, "warm-after": 8.9},
        "limits": {"max-attempts": 3, "cancel": true, "conn-idle": 30.0, "connect-timeout": 0.25,
            "probes": true, "retry-after": false, "second-copies": false},
        "prices": {"cross-zone": 0.1, "handshake": 0.02, "late-fail": 0.049, "probe": 0.002, "waste": 0.3},
        "telemetry": {"how": "probe", "names": ["errors_per_s", "throughput", "utilization", "x0"]}})
}
