package org.marjoramsail.core.outcome;

/** Range of prompt lengths by which requests are counted. */
public enum PromptSize {
  NONE(0, "none"),
  UP_TO_1K(1_024, "up-to-1k"),
  UP_TO_4K(4_096, "up-to-4k"),
  UP_TO_16K(16_384, "up-to-16k"),
  OVER_16K(Integer.MAX_VALUE, "over-16k");

  private final int maximumTokens;
  private final String code;

  PromptSize(int maximumTokens, String code) {
    this.maximumTokens = maximumTokens;
    this.code = code;
  }

  /** Returns the range of a prompt length in tokens; zero is that of a plain request. */
  public static PromptSize of(int promptTokens) {
    for (PromptSize size : values()) {
      if (promptTokens <= size.maximumTokens) {
        return size;
      }
    }
    return OVER_16K;
  }

  /** Returns the range as metrics show it. */
  public String code() {
    return code;
  }
}
