package org.marjoramsail.daemon.request;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Collectors;
import org.marjoramsail.core.outcome.QuarantineChange;
import org.marjoramsail.core.outcome.QuarantineListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs and counts the changes of a quarantine. */
public final class QuarantineLog implements QuarantineListener {

  private static final Logger LOG = LoggerFactory.getLogger(QuarantineLog.class);

  private final Map<QuarantineChange.Kind, Counter> counters =
      new EnumMap<>(QuarantineChange.Kind.class);

  /** Creates a log that counts in a registry. */
  public QuarantineLog(MeterRegistry meters) {
    for (QuarantineChange.Kind kind : QuarantineChange.Kind.values()) {
      counters.put(kind, meters.counter("marjoramsail.quarantine.changes", "kind", kind.code()));
    }
  }

  @Override
  public void changed(QuarantineChange change) {
    counters.get(change.kind()).increment();
    LOG.atInfo()
        .addKeyValue("change", change.kind().code())
        .addKeyValue("upstream", change.upstream())
        .addKeyValue(
            change.kind().isOfParts() ? "parts" : "contents",
            change.fingerprints().stream().map(Long::toHexString).collect(Collectors.joining(" ")))
        .addKeyValue("source", change.source())
        .log("quarantine changed");
  }
}
