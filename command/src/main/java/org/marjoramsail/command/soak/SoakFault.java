package org.marjoramsail.command.soak;

import io.vertx.core.Future;
import java.util.List;
import java.util.Locale;
import org.marjoramsail.standin.plain.PlainFault;

/** The kinds of faults that a soak causes, each with its targets, its length and what it does. */
@SuppressWarnings("ImmutableEnumChecker") // The lists are unmodifiable.
public enum SoakFault {
  /** A daemon dies, and starts anew on the same host name and ports. */
  DAEMON_KILL(Targets.DAEMONS, Effect.DISABLES, 500, 4_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      return stage.fleet().killDaemon(fault.target().number());
    }

    @Override
    Future<Void> end(Stage stage, PlannedFault fault) {
      return stage.fleet().restartDaemon(fault.target().number());
    }
  },
  /** A daemon stands still, and goes on as if nothing had been. */
  DAEMON_PAUSE(Targets.DAEMONS, Effect.DISABLES, 500, 3_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      stage.fleet().daemons().get(fault.target().number()).pause(fault.millis());
      return Future.succeededFuture();
    }
  },
  ENGINE_CRASH(Targets.ENGINES, Effect.DISABLES, 300, 4_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      return stage.engine(fault.target()).crash();
    }

    @Override
    Future<Void> end(Stage stage, PlannedFault fault) {
      return stage.engine(fault.target()).restart();
    }
  },
  ENGINE_STALL(Targets.ENGINES, Effect.DISABLES, 300, 2_500) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      stage.engine(fault.target()).stall(fault.millis());
      return Future.succeededFuture();
    }
  },
  ENGINE_SLOW(Targets.ENGINES, Effect.DISTURBS, 1_000, 5_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      stage.engine(fault.target()).slowDown(SLOWNESS);
      return Future.succeededFuture();
    }

    @Override
    Future<Void> end(Stage stage, PlannedFault fault) {
      stage.engine(fault.target()).slowDown(1);
      return Future.succeededFuture();
    }
  },
  TRANSFERS_FAIL(Targets.ENGINES, Effect.DISTURBS, 500, 4_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      stage.engine(fault.target()).failTransfers(true);
      return Future.succeededFuture();
    }

    @Override
    Future<Void> end(Stage stage, PlannedFault fault) {
      stage.engine(fault.target()).failTransfers(false);
      return Future.succeededFuture();
    }
  },
  CANCELS_REFUSED(Targets.ENGINES, Effect.DISTURBS, 1_000, 5_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      stage.engine(fault.target()).refuseCancels(true);
      return Future.succeededFuture();
    }

    @Override
    Future<Void> end(Stage stage, PlannedFault fault) {
      stage.engine(fault.target()).refuseCancels(false);
      return Future.succeededFuture();
    }
  },
  ENGINE_LEAVES(Targets.ENGINES, Effect.DISABLES, 1_000, 6_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      return stage.engine(fault.target()).leave();
    }

    @Override
    Future<Void> end(Stage stage, PlannedFault fault) {
      return stage.engine(fault.target()).comeBack();
    }
  },
  PLAIN_LEAVES(Targets.PLAIN_SERVERS, Effect.DISABLES, 1_000, 6_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      stage.plainServer(fault.target()).leave();
      return Future.succeededFuture();
    }

    @Override
    Future<Void> end(Stage stage, PlannedFault fault) {
      stage.plainServer(fault.target()).comeBack();
      return Future.succeededFuture();
    }
  },
  PLAIN_STALL(Targets.PLAIN_SERVERS, Effect.DISABLES, 300, 2_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      stage.plainServer(fault.target()).stall(fault.millis());
      return Future.succeededFuture();
    }
  },
  PLAIN_REFUSES(Targets.PLAIN_SERVERS, Effect.DISABLES, 300, 3_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      stage.plainServer(fault.target()).refuse(true);
      return Future.succeededFuture();
    }

    @Override
    Future<Void> end(Stage stage, PlannedFault fault) {
      stage.plainServer(fault.target()).refuse(false);
      return Future.succeededFuture();
    }
  },
  PLAIN_CRASH_BEFORE_RUN(Targets.PLAIN_SERVERS, Effect.DISABLES, 1_000, 2_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      return failNext(stage, fault, PlainFault.CRASH_BEFORE_RUN);
    }
  },
  PLAIN_CRASH_AFTER_RUN(Targets.PLAIN_SERVERS, Effect.DISABLES, 1_000, 2_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      return failNext(stage, fault, PlainFault.CRASH_AFTER_RUN);
    }
  },
  PLAIN_ANSWER_LOST(Targets.PLAIN_SERVERS, Effect.DISTURBS, 300, 1_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      return failNext(stage, fault, PlainFault.ANSWER_LOST);
    }
  },
  STORE_OUTAGE(Targets.PLATFORM, Effect.DISTURBS, 500, 5_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      return stage.fleet().platform().outage(true);
    }

    @Override
    Future<Void> end(Stage stage, PlannedFault fault) {
      return stage.fleet().platform().outage(false);
    }
  },
  STORE_SLOW(Targets.PLATFORM, Effect.DISTURBS, 500, 5_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      stage.fleet().platform().slow(STORE_DELAY_MILLIS);
      return Future.succeededFuture();
    }

    @Override
    Future<Void> end(Stage stage, PlannedFault fault) {
      stage.fleet().platform().slow(0);
      return Future.succeededFuture();
    }
  },
  /** Writes take effect and their answers are lost. */
  STORE_ANSWERS_LOST(Targets.PLATFORM, Effect.DISTURBS, 500, 1_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      stage.fleet().platform().loseAnswerOfNextWrites(LOST_WRITES);
      return Future.succeededFuture();
    }
  },
  /** A prompt crashes each engine that runs it, and its caller sends it again. */
  POISON(Targets.PLATFORM, Effect.DISTURBS, 4_000, 8_000) {
    @Override
    Future<Void> begin(Stage stage, PlannedFault fault) {
      stage.poison().send(fault.atMillis());
      return Future.succeededFuture();
    }
  };

  private static final double SLOWNESS = 4;
  private static final long STORE_DELAY_MILLIS = 250;
  private static final int LOST_WRITES = 4;

  private final List<TargetGroup> groups;
  private final Effect effect;
  private final long shortestMillis;
  private final long longestMillis;

  SoakFault(List<TargetGroup> groups, Effect effect, long shortestMillis, long longestMillis) {
    this.groups = groups;
    this.effect = effect;
    this.shortestMillis = shortestMillis;
    this.longestMillis = longestMillis;
  }

  /** What a fault means for its target. */
  private enum Effect {
    /** The target does no work meanwhile. */
    DISABLES,
    /** The target works on, badly. */
    DISTURBS
  }

  private static final class Targets {
    static final List<TargetGroup> DAEMONS = List.of(TargetGroup.DAEMON);
    static final List<TargetGroup> ENGINES = List.of(TargetGroup.PREFILL, TargetGroup.DECODE);
    static final List<TargetGroup> PLAIN_SERVERS = List.of(TargetGroup.PLAIN);
    static final List<TargetGroup> PLATFORM = List.of(TargetGroup.PLATFORM);

    private Targets() {}
  }

  /** Lets it begin; done when it has. */
  abstract Future<Void> begin(Stage stage, PlannedFault fault);

  /** Lets it end; most that need no end of their own have none. */
  Future<Void> end(Stage stage, PlannedFault fault) {
    return Future.succeededFuture();
  }

  /** Who may be met. */
  List<TargetGroup> groups() {
    return groups;
  }

  /** Whether its target does no work while it lasts. */
  boolean isDisabling() {
    return effect == Effect.DISABLES;
  }

  /** Whether it takes a daemon away, so that another decides about the same servers. */
  boolean isOfDaemons() {
    return groups.contains(TargetGroup.DAEMON);
  }

  long shortestMillis() {
    return shortestMillis;
  }

  long longestMillis() {
    return longestMillis;
  }

  /** Its name on the command line and in reports: lower case with hyphens. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static Future<Void> failNext(Stage stage, PlannedFault fault, PlainFault next) {
    stage.plainServer(fault.target()).failNext(next);
    return Future.succeededFuture();
  }
}
