package org.marjoramsail.core.model;

/** Role of an upstream. */
public enum UpstreamRole {
  /** A model engine that prefills prompts and exports their KV cache. */
  PREFILL,
  /** A model engine that imports a KV cache and generates; it can also prefill a short prompt. */
  DECODE,
  /** A plain service other than a model engine. */
  PLAIN;

  /** Returns whether an upstream of this role generates the tokens of a request. */
  public boolean isGenerating() {
    return this == DECODE;
  }
}
