#!/bin/sh
# Builds what deploy/system.toml runs: the jars under target/marjoramsail, and an archive of the
# classes that a start loads. Needs no test.
set -eu
mvn -B -ntp -q -Pdeploy -Dmaven.test.skip=true -pl platform -am package

# The options that bear on the archive have to be those of deploy/system.toml.
train() {
  java -Xms48m -Xmx112m -XX:+UseSerialGC -XX:ArchiveClassesAtExit=target/marjoramsail.jsa \
    -cp 'target/marjoramsail/*' org.marjoramsail.platform.assembly.ArchiveTraining \
    deploy/training.json >target/training.log 2>&1
}

# Without the archive a start takes twice the processor time, and nothing else shows it: the virtual
# machine goes on in silence. So the build fails when the archive cannot be written or is not used.
train || train || { cat target/training.log >&2; echo "no class archive was written" >&2; exit 1; }
java -Xshare:on -XX:+UseSerialGC -XX:SharedArchiveFile=target/marjoramsail.jsa \
  -cp 'target/marjoramsail/*' org.marjoramsail.daemon.main.MarjoramsailDaemon --version \
  >/dev/null || { echo "the class archive is not used" >&2; exit 1; }
