#!/usr/bin/env bash
# Builds the stand-ins that the cases start: the project's own and those of the review. Runs after
# the build of the deploy file, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -o -B -ntp -q package -DskipTests -Dspotless.check.skip -Dcheckstyle.skip -pl standins -am
mkdir -p target
cp standins/target/foxtailridge-standins-*.jar target/standins.jar
rm -rf target/review
mkdir -p target/review
javac -cp target/foxtailridge-node.jar:target/standins.jar -d target/review review/*.java review/*/*.java
