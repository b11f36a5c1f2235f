#!/usr/bin/env bash
# Installs the required packages, builds, and runs one job end to end on loopback.
set -euo pipefail
cd "$(dirname "$0")/.."
meta/install_packages.sh
meta/build.sh
meta/demo.sh
