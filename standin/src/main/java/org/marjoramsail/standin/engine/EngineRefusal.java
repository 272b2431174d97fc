package org.marjoramsail.standin.engine;

import java.util.Locale;
import java.util.Optional;
import org.marjoramsail.core.failure.RunState;

/** Why the engine does not do what it was asked. */
enum EngineRefusal {
  LEAVING(503, true),
  FULL(503, true),
  WRONG_ROLE(503, true),
  /** Cancelled before it began. */
  CANCELLED(503, true),
  /** Cancelled after it began. */
  STOPPED(503, false),
  UNKNOWN_MODEL(404, true),
  PROMPT_TOO_LONG(413, true),
  KV_EXPIRED(410, true),
  TRANSFER_FAILED(502, true),
  /** The same attempt is held already. */
  DUPLICATE_ATTEMPT(409, false),
  MALFORMED(400, true),
  CANCEL_REFUSED(503, false);

  private final int httpStatus;
  private final boolean notRun;

  EngineRefusal(int httpStatus, boolean notRun) {
    this.httpStatus = httpStatus;
    this.notRun = notRun;
  }

  int httpStatus() {
    return httpStatus;
  }

  /** The word for a request that was proven not to have run here. */
  Optional<String> run() {
    return notRun ? Optional.of(RunState.NOT_RUN.code()) : Optional.empty();
  }

  String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
