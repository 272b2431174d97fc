# Sourced by the programs beside it: builds what is missing, then runs a main class.

launch() {
  root=$1
  main_class=$2
  shift 2
  classes=$root/command/target/classes
  libraries=$root/command/target/libraries
  if [ ! -d "$libraries" ] || [ ! -d "$classes" ]; then
    echo "marjoramsail: building once, as this clone has not been built yet" >&2
    (cd "$root" && mvn -B -q -DskipTests package >&2) || {
      echo "marjoramsail: the build failed; see above" >&2
      exit 1
    }
  fi
  if [ -n "${JAVA_HOME:-}" ] && [ -x "$JAVA_HOME/bin/java" ]; then
    java=$JAVA_HOME/bin/java
  else
    java=java
  fi
  # The options are a list of words, split at spaces on purpose.
  # shellcheck disable=SC2086
  exec "$java" ${MARJORAMSAIL_JAVA_OPTIONS:-} -cp "$classes:$libraries/*" "$main_class" "$@"
}
