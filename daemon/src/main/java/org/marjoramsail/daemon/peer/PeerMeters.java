package org.marjoramsail.daemon.peer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Supplier;

/** Metrics of the connections to other daemons. */
final class PeerMeters {

  private static final String PREFIX = "marjoramsail.peer.";

  private final Counter bytesSent;
  private final Counter bytesReceived;
  private final Counter connects;
  private final Map<PeerMessageType, Counter> framesSent;
  private final Map<PeerMessageType, Counter> framesReceived;
  private final Map<DropReason, Counter> drops;
  private final Map<CloseReason, Counter> refusalsSent;
  private final Map<CloseReason, Counter> refusalsReceived;

  PeerMeters(MeterRegistry registry, Supplier<Number> connections) {
    bytesSent = registry.counter(PREFIX + "bytes", "direction", "sent");
    bytesReceived = registry.counter(PREFIX + "bytes", "direction", "received");
    connects = registry.counter(PREFIX + "connects");
    framesSent = frames(registry, "sent");
    framesReceived = frames(registry, "received");
    drops = counters(registry, DropReason.class, "drops", "reason", DropReason::code, "");
    refusalsSent = refusals(registry, "given");
    refusalsReceived = refusals(registry, "taken");
    registry.gauge(PREFIX + "connections", connections, supplier -> supplier.get().doubleValue());
  }

  void sent(PeerMessageType type, int bytes) {
    framesSent.get(type).increment();
    bytesSent.increment(bytes);
  }

  void received(PeerMessageType type, int bytes) {
    framesReceived.get(type).increment();
    bytesReceived.increment(bytes);
  }

  void connected() {
    connects.increment();
  }

  void dropped(DropReason reason, int messages) {
    drops.get(reason).increment(messages);
  }

  void refusalSent(CloseReason reason) {
    refusalsSent.get(reason).increment();
  }

  void refusalReceived(CloseReason reason) {
    refusalsReceived.get(reason).increment();
  }

  private static Map<PeerMessageType, Counter> frames(MeterRegistry registry, String direction) {
    Function<PeerMessageType, String> name = type -> type.name().toLowerCase(Locale.ROOT);
    return counters(registry, PeerMessageType.class, "frames", "type", name, direction);
  }

  private static Map<CloseReason, Counter> refusals(MeterRegistry registry, String direction) {
    return counters(
        registry, CloseReason.class, "refusals", "reason", CloseReason::code, direction);
  }

  private static <E extends Enum<E>> Map<E, Counter> counters(
      MeterRegistry registry,
      Class<E> keys,
      String name,
      String tag,
      Function<E, String> code,
      String direction) {
    Map<E, Counter> counters = new EnumMap<>(keys);
    for (E key : keys.getEnumConstants()) {
      Counter.Builder builder = Counter.builder(PREFIX + name).tag(tag, code.apply(key));
      if (!direction.isEmpty()) {
        builder.tag("direction", direction);
      }
      counters.put(key, builder.register(registry));
    }
    return counters;
  }
}
