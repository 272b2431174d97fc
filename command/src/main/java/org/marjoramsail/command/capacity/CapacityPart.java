package org.marjoramsail.command.capacity;

import java.util.List;
import java.util.Locale;
import org.marjoramsail.core.failure.MarjoramsailException;

/** The parts that can be measured alone; each in some minutes at most. */
public enum CapacityPart {
  MEMBERSHIP {
    @Override
    List<Point> points(Bench bench) {
      return new MembershipPart(bench.seed()).measure();
    }
  },
  CLAIMS {
    @Override
    List<Point> points(Bench bench) throws MarjoramsailException {
      return new ClaimsPart(bench).measure();
    }
  },
  PLACEMENT {
    @Override
    List<Point> points(Bench bench) {
      return new PlacementPart(bench.seed()).measure();
    }
  },
  CONFIGURATION {
    @Override
    List<Point> points(Bench bench) {
      return new ConfigurationPart(bench.seed()).measure();
    }
  },
  TOKENS {
    @Override
    List<Point> points(Bench bench) throws MarjoramsailException {
      return new TokensPart(bench).measure();
    }
  },
  OVERHEAD {
    @Override
    List<Point> points(Bench bench) throws MarjoramsailException {
      return new OverheadPart(bench).measure();
    }
  };

  /** Measures this part. */
  abstract List<Point> points(Bench bench) throws MarjoramsailException;

  /**
   * Measures this part on this machine.
   *
   * @throws MarjoramsailException when what is measured does not start or end
   */
  public Measurement measure(Bench bench) throws MarjoramsailException {
    double loadBefore = Machine.loadAverage();
    List<Point> points = points(bench);
    String command =
        "bin/marjoramsail capacity --part %s --seed %d".formatted(code(), bench.seed());
    return new Measurement(this, command, bench.seed(), Machine.here(loadBefore), points);
  }

  /** Its name on the command line. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
