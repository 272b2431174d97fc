package org.marjoramsail.command.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.marjoramsail.standin.engine.EngineAudit;
import org.marjoramsail.standin.engine.EngineStandIn;
import org.marjoramsail.standin.load.FleetAudit;
import org.marjoramsail.standin.plain.PlainAudit;
import org.marjoramsail.standin.plain.PlainServiceStandIn;

/** Merges what the stand-ins counted. */
final class FleetAudits {

  private FleetAudits() {}

  static FleetAudit merge(List<EngineStandIn> engines, List<PlainServiceStandIn> servers) {
    Map<String, Long> wasted = new HashMap<>();
    Map<String, Integer> runs = new HashMap<>();
    Set<String> requestsRun = new HashSet<>();
    long prefillTokens = 0;
    long overCommitments = 0;
    long held = 0;
    for (EngineStandIn engine : engines) {
      EngineAudit audit = engine.audit();
      prefillTokens += audit.prefillTokens();
      overCommitments += audit.overCommitments();
      held += audit.isHoldingNothing() ? 0 : Math.max(1, audit.held());
      audit
          .wastedTokens()
          .forEach((reason, tokens) -> wasted.merge(code(reason), tokens, Long::sum));
    }
    for (PlainServiceStandIn server : servers) {
      PlainAudit audit = server.audit();
      overCommitments += audit.overCommitments();
      held += audit.held();
      audit.runsByReference().forEach((name, count) -> runs.merge(name, count, Integer::sum));
      requestsRun.addAll(audit.runsByRequest().keySet());
    }
    return new FleetAudit(prefillTokens, wasted, overCommitments, runs, requestsRun, held);
  }

  private static String code(Enum<?> reason) {
    return reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
