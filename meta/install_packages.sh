#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the checks need.
set -euo pipefail
apt-get update -q
apt-get install -y -q --no-install-recommends \
  g++ cmake ninja-build ccache pkg-config clang-format-14 clang-tidy-14 \
  libulfius-dev libcapnp-dev capnproto libcli11-dev liblog4cxx-dev libabsl-dev libcpputest-dev \
  curl nlohmann-json3-dev liburcu-dev librapidcheck-dev libxxhash-dev libgnutls28-dev
