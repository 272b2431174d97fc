package org.marjoramsail.core.model;

/** What an upstream does for requests. */
public enum UpstreamRole {
  /** A model engine that reads prompts and exports their KV cache. */
  PREFILL,
  /** A model engine that imports a KV cache and generates; it can also read a short prompt. */
  DECODE,
  /** A plain service beside the engines. */
  PLAIN;

  /** Whether a request for generated tokens can end on such an upstream. */
  public boolean isGenerating() {
    return this == DECODE;
  }
}
