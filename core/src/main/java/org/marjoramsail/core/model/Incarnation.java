package org.marjoramsail.core.model;

/**
 * One life of an upstream, from its start to its end.
 *
 * <p>An upstream may start again under the name that it had. It then holds and knows nothing of
 * before, so what is remembered of one life says nothing about the next.
 *
 * @param upstream its name
 * @param startedAtMillis when it started, on its own clock in milliseconds since 1970; {@link
 *     #UNKNOWN_START} where it does not say
 */
public record Incarnation(UpstreamName upstream, long startedAtMillis) {

  /** The start of an upstream that does not say when it started: all its lives look the same. */
  public static final long UNKNOWN_START = 0;

  /** Whether this is a later life of the same upstream. */
  public boolean supersedes(Incarnation other) {
    return upstream.equals(other.upstream) && startedAtMillis > other.startedAtMillis;
  }

  /** Whether another start is certainly that of another life: both are known and differ. */
  public boolean certainlyDiffersFrom(long otherStartMillis) {
    return startedAtMillis != UNKNOWN_START
        && otherStartMillis != UNKNOWN_START
        && startedAtMillis != otherStartMillis;
  }

  @Override
  public String toString() {
    return startedAtMillis == UNKNOWN_START ? upstream.value() : upstream + "@" + startedAtMillis;
  }
}
