package org.marjoramsail.daemon.request;

import java.util.Locale;

/** Kinds of steps in the trace of a request. */
public enum TraceKind {
  CLAIM_ASKED,
  CLAIM_SETTLED,
  PLACEMENT_ASKED,
  GRANTED,
  WITHDRAWN,
  PREFILL_SENT,
  PREFILLED,
  DECODE_SENT,
  OUTPUT_STARTED,
  PLAIN_SENT,
  FIRST_TOKEN,
  SILENT,
  SILENCE_DECIDED,
  UPSTREAM_FAILED,
  RETRIED,
  CANCEL_SENT,
  CALLER_GONE,
  COMPLETED,
  REFUSED;

  /** Returns the name in lower case with hyphens, as operators see it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
