package org.marjoramsail.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Decides whether a change can be accepted on the root as it was just read. */
public final class ChangeAcceptor {

  /**
   * Maximum number of accepted changes that the root records: those of about two hours at the
   * highest expected rate.
   */
  public static final int MAXIMUM_RECENT_ORDERS = 200;

  /** Maximum number of objects recorded for one change; beyond it, none are. */
  private static final int MAXIMUM_RECORDED_OBJECTS = 32;

  private ChangeAcceptor() {}

  /**
   * Decides the next step of a change.
   *
   * @param change the change that an operator ordered
   * @param root the root as it was just read
   * @param firstReadRevision the revision that was read first for this change; used as the base
   *     revision if the change states none
   * @param revisionInForce the revision in force on the deciding daemon
   * @param wallClockMillis the time to record as the time of acceptance
   */
  public static AcceptanceStep decide(
      ConfigurationChange change,
      ConfigurationRoot root,
      long firstReadRevision,
      long revisionInForce,
      long wallClockMillis) {
    Optional<OrderRecord> earlier = root.order(change.order());
    if (earlier.isPresent()) {
      return new AcceptanceStep.AlreadyAccepted(earlier.get());
    }
    long stored = root.configuration().revision();
    if (stored < revisionInForce) {
      return new AcceptanceStep.Refuse(new ChangeRefusal.StoreBehind(stored, revisionInForce));
    }
    Optional<ChangeRefusal> conflict =
        conflict(change, root, change.baseRevision().orElse(firstReadRevision));
    if (conflict.isPresent()) {
      return new AcceptanceStep.Refuse(conflict.get());
    }
    EditResult result = ConfigurationEditor.apply(root.configuration(), change);
    if (result instanceof EditResult.Edited edited) {
      return write(change, root, edited.configuration(), wallClockMillis);
    }
    return new AcceptanceStep.Refuse(
        new ChangeRefusal.Invalid(((EditResult.Invalid) result).problems()));
  }

  private static Optional<ChangeRefusal> conflict(
      ConfigurationChange change, ConfigurationRoot root, long base) {
    long newest = root.configuration().revision();
    long oldestKnown =
        root.recentOrders().stream().findFirst().map(first -> first.revision() - 1).orElse(newest);
    if (base > newest || base < oldestKnown) {
      return Optional.of(new ChangeRefusal.BaseUnknown(base, oldestKnown, newest));
    }
    List<ObjectKey> touched = changedObjects(change, root.configuration());
    List<OrderRecord> others =
        root.recentOrders().stream()
            .filter(entry -> entry.revision() > base)
            .filter(entry -> entry.overlaps(touched))
            .toList();
    return others.isEmpty()
        ? Optional.empty()
        : Optional.of(new ChangeRefusal.Conflict(base, others));
  }

  /**
   * Returns the keys of the objects that a change affects; empty if it affects none in particular.
   */
  private static List<ObjectKey> changedObjects(ConfigurationChange change, Configuration current) {
    List<ObjectKey> keys = new ArrayList<>();
    for (ConfigurationOperation operation : change.operations()) {
      ConfigurationEditor.keyOf(operation).ifPresent(keys::add);
      if (operation instanceof ConfigurationOperation.Restore restore) {
        keys.addAll(ConfigurationDifference.between(current, restore.configuration()).keys());
      }
    }
    return keys;
  }

  private static AcceptanceStep write(
      ConfigurationChange change,
      ConfigurationRoot root,
      Configuration edited,
      long wallClockMillis) {
    List<ObjectKey> touched = changedObjects(change, root.configuration());
    OrderRecord entry =
        new OrderRecord(
            change.order(),
            edited.revision(),
            change.author(),
            change.summary(),
            wallClockMillis,
            touched.size() > MAXIMUM_RECORDED_OBJECTS ? List.of() : touched);
    List<OrderRecord> recent = new ArrayList<>(root.recentOrders());
    recent.add(entry);
    int excess = Math.max(0, recent.size() - MAXIMUM_RECENT_ORDERS);
    ConfigurationRoot next = new ConfigurationRoot(edited, recent.subList(excess, recent.size()));
    ConfigurationDifference difference =
        ConfigurationDifference.between(root.configuration(), edited);
    return new AcceptanceStep.Write(next, entry, difference);
  }
}
