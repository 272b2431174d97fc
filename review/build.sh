#!/bin/sh
# Builds the stand-ins that the scripts of review/ start, into target/review. Needs no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -d target/review review/src/*.java
