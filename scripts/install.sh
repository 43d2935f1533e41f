#!/bin/sh
# Installs the packages that the build and the checks need, where missing.
set -eu
packages="g++ cmake ninja-build make git python3 clang-format clang-tidy
libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev libflatbuffers-dev
libtomlplusplus-dev liblog4cplus-dev libexpected-dev libcriterion-dev
librapidcheck-dev libxxhash-dev libssl-dev"
missing=""
for package in $packages; do
  dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
echo "installing:$missing"
sudo=""
[ "$(id -u)" = 0 ] || sudo="sudo"
$sudo apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends $missing >/dev/null
