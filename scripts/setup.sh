#!/bin/sh
# Installs the Debian packages for building and testing that are missing, and
# those named in EXTRA_PACKAGES.
set -eu
packages="gcc make pkg-config curl libapr1-dev libaprutil1-dev libmsgpack-dev libmicrohttpd-dev
  libcurl4-openssl-dev libargtable2-dev liblog4c-dev libcunit1-dev libjson-c-dev libxxhash-dev
  libsodium-dev ${EXTRA_PACKAGES:-}"
missing=""
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
echo "installing:$missing"
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends $missing
