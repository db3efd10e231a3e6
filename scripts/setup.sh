#!/bin/sh
# Installs the Debian packages that are missing.
set -eu
packages="gcc make pkg-config curl libapr1-dev libaprutil1-dev libmsgpack-dev libmicrohttpd-dev
  libcurl4-openssl-dev libargtable2-dev liblog4c-dev libcunit1-dev libjson-c-dev libxxhash-dev
  libsodium-dev ${EXTRA_PACKAGES:-}"
missing=""
for p in $packages; do
  dpkg-query -W -f='${Status}' "$p" 2>/dev/null | grep -q 'ok installed' || missing="$missing $p"
done
[ -n "$missing" ] || exit 0
echo "installing:$missing"
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends $missing
