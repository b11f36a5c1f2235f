#!/usr/bin/env bash
# Installs into a temporary prefix, then builds and runs the example against the installation, with
# CMake and with pkg-config. Needs a finished build.
set -euo pipefail
cd "$(dirname "$0")/.."
source_folder=$PWD
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cmake --install "${WAGTAIL_BUILD:-build}" --prefix "$work/prefix" >"$work/install.log"
cp -r utilities/example_embed "$work/example"
cmake -S "$work/example/outside_the_tree" -B "$work/build" -G Ninja \
  -DCMAKE_PREFIX_PATH="$work/prefix" >"$work/configure.log"
cmake --build "$work/build" -j "${WAGTAIL_JOBS:-$(nproc)}" >"$work/build.log" || { cat "$work/build.log"; exit 1; }
"$work/build/example_embed" | tee "$work/by_cmake.out"

export PKG_CONFIG_PATH
PKG_CONFIG_PATH=$(dirname "$(find "$work/prefix" -name wagtailplank-core.pc)")
read -r -a flags <<<"$(pkg-config --cflags --libs wagtailplank-core)"
g++ -std=c++20 "$work/example/main.cc" -o "$work/by_pkg_config" "${flags[@]}"
pkg-config --exists wagtailplank
"$work/by_pkg_config" >"$work/by_pkg_config.out"
cmp "$work/by_cmake.out" "$work/by_pkg_config.out"

# No installed file may refer to the source tree.
if grep -rIl --include='*.cmake' --include='*.pc' "$source_folder" "$work/prefix"; then
  echo "the files above name the source folder"
  exit 1
fi
"$work/prefix/bin/wagtail-entryd" --version
echo "installed package: found, linked and run by CMake and by pkg-config"
