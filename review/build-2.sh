#!/bin/sh
# Compiles the stand-ins and cases of the second review into target/review-2, after the build of the deploy file. The authority
# is that of the first review (review/src), compiled anew; the libraries are those of the build.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all --release 17 -cp 'target/lib/*' -d target/review-2 review/src/standin/Record.java review/src/standin/Authority.java \
    review/src-2/review2/*.java
