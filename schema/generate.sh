#!/usr/bin/env bash
# Writes src/peer/peer_capnp.rs anew from schema/peer.capnp. Needs the Cap'n Proto
# compiler and `capnpc-rust` (crate capnpc 0.27); the build itself needs neither.
set -euo pipefail
cd "$(dirname "$0")/.."
target=${1:-src/peer}
capnp compile -o"rust:$target" schema/peer.capnp --src-prefix=schema
sed -i '/^\/\/ capnp binary version/d' "$target/peer_capnp.rs"
