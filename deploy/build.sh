#!/bin/sh
# Builds what deploy/system.toml runs: the jars under target/marjoramsail, and an archive of the
# classes that a start loads. Needs no test.
set -eu
mvn -B -ntp -q -Pdeploy -Dmaven.test.skip=true -pl platform -am package
# The options that bear on the archive have to be those of deploy/system.toml.
java -Xms48m -Xmx112m -XX:+UseSerialGC -XX:ArchiveClassesAtExit=target/marjoramsail.jsa \
  -cp 'target/marjoramsail/*' org.marjoramsail.platform.assembly.ArchiveTraining \
  deploy/training.json >target/training.log 2>&1 || echo "no class archive; see target/training.log" >&2
