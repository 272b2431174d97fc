#!/bin/sh
# Builds what deploy/system.toml runs: the jars under target/marjoramsail. Needs no test.
set -eu
mvn -B -ntp -q -Pdeploy -Dmaven.test.skip=true -pl platform -am package
