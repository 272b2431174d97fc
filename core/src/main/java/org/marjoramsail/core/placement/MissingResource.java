package org.marjoramsail.core.placement;

import java.util.Locale;
import org.marjoramsail.core.failure.RefusalReason;

/** Resource that a waiting attempt lacks. */
enum MissingResource {
  DECODE_SLOT(RefusalReason.DEADLINE_UNREACHABLE),
  /** Engines have free slots, and none has enough memory. */
  ENGINE_MEMORY(RefusalReason.DEADLINE_UNREACHABLE),
  PREFILL_CAPACITY(RefusalReason.DEADLINE_UNREACHABLE),
  LINK(RefusalReason.DEADLINE_UNREACHABLE),
  ORGANISATION_CONCURRENCY(RefusalReason.ORGANISATION_CONCURRENCY),
  ORGANISATION_RATE(RefusalReason.ORGANISATION_RATE),
  PLAIN_SLOT(RefusalReason.DEADLINE_UNREACHABLE),
  /** No upstream of a required role is usable. */
  UPSTREAM(RefusalReason.NO_UPSTREAM);

  private final RefusalReason reason;

  MissingResource(RefusalReason reason) {
    this.reason = reason;
  }

  /** Returns why an attempt is refused that lacked this resource until its deadline. */
  RefusalReason reason() {
    return reason;
  }

  /** Returns whether it becomes free when a generation ends. */
  boolean isFreedByGenerations() {
    return this == DECODE_SLOT || this == ENGINE_MEMORY;
  }

  /** Returns the code that operators see. */
  String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
