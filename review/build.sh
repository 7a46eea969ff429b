#!/bin/sh
# Builds the stand-ins of the cases into target/review; to be run after the build of the deploy file, without a network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:all -d target/review -cp 'target/grebewick.jar:target/lib/*' review/src/standin/*.java review/src/cases/*.java
