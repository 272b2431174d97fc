package org.marjoramsail.daemon.membership;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.membership.MembershipStatistics;
import org.marjoramsail.core.membership.MembershipView;

/** Metrics of the membership view and the failure detector. */
final class MembershipMeters {

  private static final String PREFIX = "marjoramsail.membership.";

  private MembershipMeters() {}

  static void register(
      MeterRegistry registry,
      Supplier<MembershipView> view,
      Supplier<MembershipStatistics> statistics) {
    for (MemberState state : MemberState.values()) {
      Gauge.builder(PREFIX + "members", view, current -> count(current.get(), state))
          .tag("state", state.name().toLowerCase(Locale.ROOT))
          .register(registry);
    }
    counter(registry, statistics, "probes", MembershipStatistics::probes);
    counter(registry, statistics, "failed.probes", MembershipStatistics::failedProbes);
    counter(registry, statistics, "suspicions", MembershipStatistics::suspicions);
    counter(registry, statistics, "refutations", MembershipStatistics::refutations);
    counter(registry, statistics, "deaths", MembershipStatistics::deaths);
    counter(registry, statistics, "revivals", MembershipStatistics::revivals);
    counter(registry, statistics, "pauses", MembershipStatistics::pauses);
    counter(registry, statistics, "digests", MembershipStatistics::digests);
    counter(registry, statistics, "states", MembershipStatistics::states);
  }

  private static void counter(
      MeterRegistry registry,
      Supplier<MembershipStatistics> statistics,
      String name,
      ToDoubleFunction<MembershipStatistics> value) {
    FunctionCounter.builder(
            PREFIX + name, statistics, current -> value.applyAsDouble(current.get()))
        .register(registry);
  }

  private static long count(MembershipView view, MemberState state) {
    return view.members().stream().filter(member -> member.state() == state).count();
  }
}
