package org.marjoramsail.daemon.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.configuration.ChangeResult;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ConfigurationChange;
import org.marjoramsail.core.configuration.ConfigurationRoot;
import org.marjoramsail.core.configuration.ModelDefinition;
import org.marjoramsail.core.configuration.OrderId;
import org.marjoramsail.core.configuration.OrderRecord;
import org.marjoramsail.daemon.configuration.FakeStore.Fault;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;
import org.marjoramsail.daemon.platform.StoredObject;

/** One random history, and the oracle that follows every root the store has ever held. */
final class ConfigurationHistory {

  private static final int DAEMONS = 4;
  private static final int MODELS = 3;
  private static final long PAST_PATIENCE_MILLIS = 13_000;
  private static final List<Fault> FAULTS = List.of(Fault.values());

  private record Sending(ConfigurationChange change, List<ChangeResult> results) {}

  private final FakeFleet fleet;
  private final List<ConfigurationRoot> roots = new ArrayList<>();
  private final Map<OrderId, List<Sending>> sendings = new HashMap<>();
  private final List<FakeFleet.Daemon> runs = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private int orders;
  private int nextFault;
  private boolean faulty;
  private boolean outage;

  ConfigurationHistory(long seed) {
    this.fleet = new FakeFleet(DAEMONS, seed);
    fleet.store.stepwise();
    fleet.store.faults(call -> fault());
    fleet.start();
    runs.addAll(fleet.daemons);
    send(0, Samples.creating("first", firstConfiguration()));
    fleet.run(3_000, 250);
  }

  List<String> violations() {
    return violations;
  }

  /** Makes one random step; the choice decides what and where. */
  void step(int choice) {
    int kind = choice % 100;
    int detail = choice / 100;
    nextFault = detail / 7;
    if (kind < 45) {
      deliverStore(detail);
    } else if (kind < 65) {
      deliverMessage(detail);
    } else if (kind < 77) {
      fleet.timers.advance(10 + detail % 900);
    } else if (kind < 89) {
      order(detail);
    } else if (kind < 91) {
      runs.add(fleet.restart(detail % DAEMONS));
    } else if (kind < 94) {
      changeOutage(detail);
    } else if (kind < 96) {
      fleet.store.endWatches(detail % 2 == 0 ? Failure.VERSION_TOO_OLD : Failure.UNAVAILABLE);
    } else if (kind < 98) {
      fleet.store.applyLateEffects();
    } else {
      faulty = !faulty;
    }
  }

  /** Ends all faults, lets everything settle, and checks the whole history. */
  void finish() {
    outage = false;
    faulty = false;
    for (int round = 0; round < 30; round++) {
      fleet.run(1_000, 500);
      fleet.store.applyLateEffects();
    }
    readRoots();
    checkRoots();
    checkAnswers();
    checkDaemons();
  }

  /** An outage begins or ends; some last longer than the patience of an acceptance. */
  private void changeOutage(int detail) {
    outage = !outage;
    if (outage && detail % 3 == 0) {
      fleet.run(PAST_PATIENCE_MILLIS, 500);
      outage = false;
    }
  }

  private Fault fault() {
    if (outage) {
      return Fault.UNAVAILABLE;
    }
    if (!faulty || nextFault % 3 != 0) {
      return Fault.NONE;
    }
    return FAULTS.get(nextFault / 3 % FAULTS.size());
  }

  private void deliverStore(int detail) {
    if (fleet.store.waiting() > 0) {
      fleet.store.deliver(detail % fleet.store.waiting());
    }
  }

  private void deliverMessage(int detail) {
    if (fleet.network.isEmpty()) {
      return;
    }
    int index = detail % fleet.network.size();
    if (detail % 11 == 0) {
      fleet.network.remove(index);
    } else {
      fleet.deliver(index);
    }
  }

  private void order(int detail) {
    int daemon = detail % DAEMONS;
    if (detail % 5 == 0 && orders > 0) {
      OrderId again = new OrderId("o" + (1 + detail / 5 % orders));
      send(daemon, sendings.get(again).get(0).change());
      return;
    }
    orders++;
    String order = "o" + orders;
    ConfigurationChange change =
        Samples.putting(order, Samples.model("model-" + detail / 4 % MODELS, order));
    Optional<Long> base =
        detail % 3 == 0
            ? Optional.of(fleet.daemons.get(daemon).current().revision())
            : Optional.empty();
    send(
        daemon,
        new ConfigurationChange(
            change.order(), change.author(), change.summary(), base, change.operations()));
  }

  private void send(int daemon, ConfigurationChange change) {
    Sending sending = new Sending(change, new ArrayList<>());
    sendings.computeIfAbsent(change.order(), order -> new ArrayList<>()).add(sending);
    fleet.daemons.get(daemon).service.accept(change).onSuccess(sending.results()::add);
  }

  private void readRoots() {
    for (StoredObject object : fleet.store.written()) {
      if (object.kind().equals(RootObject.KIND)) {
        try {
          roots.add(ConfigurationFormat.fromTree(object.spec(), ConfigurationRoot.class));
        } catch (ConfigurationFormatException malformed) {
          violations.add(malformed.getMessage());
        }
      }
    }
  }

  private void checkRoots() {
    Set<OrderId> seen = new HashSet<>();
    Map<String, String> versions = new HashMap<>();
    for (int index = 0; index < roots.size(); index++) {
      Configuration configuration = roots.get(index).configuration();
      if (configuration.revision() != index + 1) {
        violations.add("root " + index + " has revision " + configuration.revision());
      }
      List<OrderRecord> recent = roots.get(index).recentOrders();
      OrderRecord last = recent.get(recent.size() - 1);
      if (!seen.add(last.order())) {
        violations.add("order " + last.order() + " is in a second revision");
      }
      last.touched().forEach(key -> versions.put(key.name(), last.order().value()));
      for (ModelDefinition model : configuration.models()) {
        String expected = versions.getOrDefault(model.name(), "none");
        if (index > 0 && !model.version().equals(expected) && !expected.equals("first")) {
          violations.add("revision " + (index + 1) + " lost order " + expected);
        }
      }
    }
  }

  private void checkAnswers() {
    Map<OrderId, Long> revisions = new HashMap<>();
    for (ConfigurationRoot root : roots) {
      root.recentOrders().forEach(entry -> revisions.put(entry.order(), entry.revision()));
    }
    sendings.forEach(
        (order, list) ->
            list.forEach(
                sending ->
                    sending
                        .results()
                        .forEach(result -> checkAnswer(order, list.size(), result, revisions))));
  }

  private void checkAnswer(
      OrderId order, int times, ChangeResult result, Map<OrderId, Long> revisions) {
    if (result instanceof ChangeResult.Accepted accepted
        && !Long.valueOf(accepted.record().revision()).equals(revisions.get(order))) {
      violations.add("order " + order + " was said to be accepted and is " + revisions.get(order));
    }
    if (result instanceof ChangeResult.Refused refused
        && refused.refusal().isProven()
        && times == 1
        && revisions.containsKey(order)) {
      violations.add("order " + order + " was refused as " + refused.refusal().code());
    }
  }

  private void checkDaemons() {
    for (FakeFleet.Daemon run : runs) {
      for (int index = 1; index < run.applied.size(); index++) {
        if (run.applied.get(index) <= run.applied.get(index - 1)) {
          violations.add(run.member.id() + " went back: " + run.applied);
        }
      }
    }
    Configuration newest = roots.get(roots.size() - 1).configuration();
    for (FakeFleet.Daemon daemon : fleet.daemons) {
      if (!daemon.current().equals(newest)) {
        violations.add(
            daemon.member.id()
                + " has revision "
                + daemon.current().revision()
                + " of "
                + newest.revision());
      }
    }
  }

  private static Configuration firstConfiguration() {
    Configuration sample = Samples.configuration(2, 1);
    List<ModelDefinition> models = new ArrayList<>(sample.models());
    for (int number = 0; number < MODELS; number++) {
      models.add(Samples.model("model-" + number, "none"));
    }
    return new Configuration(
        0, sample.services(), models, sample.upstreams(), sample.rules(), sample.organisations());
  }
}
