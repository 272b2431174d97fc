package org.marjoramsail.standin.engine;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** How far the engine is with an attempt. */
enum AttemptPhase {
  WAITING,
  IMPORTING,
  PREFILLING,
  DECODING,
  /** The prompt is read and its KV cache waits for its export. */
  KV_HELD,
  ENDED;

  /** The word in answers. */
  @JsonValue
  String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
