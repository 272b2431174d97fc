package org.marjoramsail.standin.engine;

/** Why prefill work was discarded before its result was used. */
public enum WasteReason {
  /** A daemon cancelled the attempt. */
  CANCELLED,
  /** The client of the attempt disconnected. */
  CLIENT_GONE,
  /** Nobody fetched the KV cache within its lifetime. */
  KV_EXPIRED,
  /** The engine crashed. */
  CRASHED
}
