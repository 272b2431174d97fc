#!/bin/sh
# Builds what deploy/system.toml runs: the jars under target/marjoramsail, a runtime under
# target/runtime, and an archive of the classes that a start and its first requests load. Needs no
# test.
set -eu
mvn -B -ntp -q -Pdeploy -Dmaven.test.skip=true -pl platform -am package

# What the program and its libraries refer to; found with jdeps, and by running every test.
modules=java.base,java.logging,java.management,java.naming,java.sql,java.xml,java.compiler,jdk.unsupported,jdk.crypto.ec

# Prints the major version of the Java virtual machine in a home, or 0.
version_of() {
  sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$1/release" 2>/dev/null | head -n 1 | grep . || echo 0
}

# The newest development kit that can link a runtime: later ones start with less processor time.
newest=
newest_version=0
for home in "${JAVA_HOME:-}" /usr/lib/jvm/* /opt/java/* "$(dirname "$(dirname "$(readlink -f "$(command -v java)")")")"; do
  [ -x "$home/bin/jlink" ] || continue
  version=$(version_of "$home")
  if [ "$version" -gt "$newest_version" ]; then
    newest=$home
    newest_version=$version
  fi
done
[ -n "$newest" ] || { echo "no development kit with jlink was found" >&2; exit 1; }
echo "runtime linked from Java $newest_version"
[ "$newest_version" -ge 25 ] ||
  echo "Java 25 would start with a third of the processor time: its archive holds linked classes"

rm -rf target/runtime
"$newest/bin/jlink" --add-modules "$modules" --output target/runtime \
  --strip-debug --no-header-files --no-man-pages

# The options that bear on the archive have to be those of deploy/system.toml; a virtual machine
# that is older than an option goes without it.
java() {
  target/runtime/bin/java -XX:+IgnoreUnrecognizedVMOptions -XX:+UseSerialGC \
    -XX:+UseCompactObjectHeaders -Xms8m -Xmx112m "$@"
}

# The archive is of a start and of the requests that follow it: what a host loads in its first
# seconds of traffic is late for the callers that wait for it.
train() {
  java -Xshare:off -XX:TieredStopAtLevel=1 -XX:DumpLoadedClassList=target/classes.lst \
    -cp 'target/marjoramsail/*' org.marjoramsail.platform.assembly.ArchiveTraining \
    deploy/training.json >target/training.log 2>&1 &&
    java -Xshare:dump -XX:+AOTClassLinking -XX:SharedClassListFile=target/classes.lst \
      -XX:SharedArchiveFile=target/marjoramsail.jsa -cp 'target/marjoramsail/*' \
      >target/archive.log 2>&1
}

# Without the archive a start takes three times the processor time, and nothing else shows it: the
# virtual machine goes on in silence. So the build fails when it cannot be written or is not used.
train || train || {
  cat target/training.log target/archive.log >&2
  echo "no class archive was written" >&2
  exit 1
}
java -Xshare:on -XX:SharedArchiveFile=target/marjoramsail.jsa \
  -cp 'target/marjoramsail/*' org.marjoramsail.daemon.main.MarjoramsailDaemon --version \
  >/dev/null || { echo "the class archive is not used" >&2; exit 1; }
