package org.marjoramsail.core.model;

/**
 * One incarnation of an upstream, from its start to its end.
 *
 * <p>An upstream that restarts under the same name has lost its state, so what was recorded of one
 * incarnation does not apply to the next.
 *
 * @param upstream its name
 * @param startedAtMillis its start time, on its own clock in milliseconds since 1970; {@link
 *     #UNKNOWN_START} where it does not report one
 */
public record Incarnation(UpstreamName upstream, long startedAtMillis) {

  /**
   * The start time of an upstream that does not report one; its incarnations cannot be
   * distinguished.
   */
  public static final long UNKNOWN_START = 0;

  /**
   * Returns whether this incarnation, which is listed after another one of the same upstream, is a
   * different one. Its start time may be earlier, since the clock of the upstream may be wrong.
   */
  public boolean replaces(Incarnation listedBefore) {
    return upstream.equals(listedBefore.upstream)
        && startedAtMillis != UNKNOWN_START
        && startedAtMillis != listedBefore.startedAtMillis;
  }

  /**
   * Returns whether another start time certainly belongs to a different incarnation: both are known
   * and differ.
   */
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
