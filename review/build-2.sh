#!/bin/sh
# Compiles the stand-ins and cases of the second review into target/review-2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all --release 17 -d target/review-2 review/src-2/review2/*.java
