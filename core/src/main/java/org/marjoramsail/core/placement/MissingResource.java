package org.marjoramsail.core.placement;

import java.util.Locale;
import org.marjoramsail.core.failure.RefusalReason;

/** What a waiting attempt waits for. */
enum MissingResource {
  DECODE_SLOT(RefusalReason.DEADLINE_UNREACHABLE),
  PREFILL_CAPACITY(RefusalReason.DEADLINE_UNREACHABLE),
  LINK(RefusalReason.DEADLINE_UNREACHABLE),
  ORGANISATION_CONCURRENCY(RefusalReason.ORGANISATION_CONCURRENCY),
  ORGANISATION_RATE(RefusalReason.ORGANISATION_RATE),
  PLAIN_SLOT(RefusalReason.DEADLINE_UNREACHABLE),
  /** No upstream of a role that it needs may be used at all. */
  UPSTREAM(RefusalReason.NO_UPSTREAM);

  private final RefusalReason reason;

  MissingResource(RefusalReason reason) {
    this.reason = reason;
  }

  /** Why an attempt is refused that waited for this until it was too late. */
  RefusalReason reason() {
    return reason;
  }

  /** The word that operators see. */
  String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
