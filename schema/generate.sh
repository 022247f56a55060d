#!/usr/bin/env bash
# Writes the code generated from schema/*.capnp anew. Needs the Cap'n Proto compiler and
# `capnpc-rust` (crate capnpc 0.27); the build itself needs neither.
set -euo pipefail
cd "$(dirname "$0")/.."
target=${1:-src/peer}
capnp compile -o"rust:$target" schema/peer.capnp schema/exchange.capnp --src-prefix=schema
sed -i '/^\/\/ capnp binary version/d' "$target/peer_capnp.rs" "$target/exchange_capnp.rs"
