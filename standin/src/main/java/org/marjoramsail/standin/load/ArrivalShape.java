package org.marjoramsail.standin.load;

import java.util.Locale;

/** How the rate of arrivals changes over a run; the load factor is the rate at its peak. */
public enum ArrivalShape {
  /** The same rate all along. */
  STEADY {
    @Override
    double rateAt(double fraction) {
      return 1.0;
    }
  },
  /** A vote opens: a fifth of the peak, then the whole peak within a twentieth of the run. */
  RUSH {
    @Override
    double rateAt(double fraction) {
      double risen = (fraction - 0.2) / 0.05;
      double fallen = fraction > 0.8 ? 0.6 : 0.0;
      return Math.min(1.0, 0.2 + 0.8 * Math.max(0.0, risen)) - fallen;
    }
  },
  /** A filing deadline on the evening news: two steps, at its announcement and its repetition. */
  EVENING_NEWS {
    @Override
    double rateAt(double fraction) {
      if (fraction < 0.25) {
        return 0.3;
      }
      if (fraction < 0.5) {
        return 0.7;
      }
      return fraction < 0.85 ? 1.0 : 0.4;
    }
  },
  /** An even rate, and many long prompts at once in the middle. */
  LONG_PROMPT_BURST {
    @Override
    double rateAt(double fraction) {
      return 1.0;
    }

    @Override
    int burstOfLongPrompts() {
      return LONG_PROMPTS;
    }
  };

  private static final int LONG_PROMPTS = 200;

  /** The rate at a moment of the run, as a share of the peak: from zero to one. */
  abstract double rateAt(double fraction);

  /** How many long prompts arrive together in the middle of the run. */
  int burstOfLongPrompts() {
    return 0;
  }

  /** Its name on the command line: lower case with hyphens. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
