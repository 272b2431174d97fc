package org.marjoramsail.daemon.operator;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongFunction;
import org.marjoramsail.core.configuration.ChangeRefusal;
import org.marjoramsail.core.configuration.ChangeResult;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ConfigurationChange;
import org.marjoramsail.core.configuration.ConfigurationDifference;
import org.marjoramsail.core.configuration.ConfigurationObject;
import org.marjoramsail.core.configuration.ConfigurationOperation;
import org.marjoramsail.core.configuration.InForceReport;
import org.marjoramsail.core.configuration.ObjectKey;
import org.marjoramsail.core.configuration.ObjectKind;
import org.marjoramsail.daemon.configuration.ConfigurationChanges;
import org.marjoramsail.daemon.configuration.ConfigurationFormatException;
import org.marjoramsail.language.Assignment;
import org.marjoramsail.language.FieldValue;
import org.marjoramsail.language.NearestName;
import org.marjoramsail.language.ObjectForm;
import org.marjoramsail.language.Order;

/** Turns orders into one change of the configuration and has it accepted. */
public final class ConfigurationOrders implements OrderExecutor {

  private final ConfigurationChanges acceptance;
  private final LongFunction<Future<InForceReport>> inForce;

  /**
   * Creates an instance with what accepts changes.
   *
   * @param inForce tells where a revision is in force, after a bounded wait; never fails
   */
  public ConfigurationOrders(
      ConfigurationChanges acceptance, LongFunction<Future<InForceReport>> inForce) {
    this.acceptance = acceptance;
    this.inForce = inForce;
  }

  @Override
  public Future<OrderOutcome> carryOut(OrderContext context, List<Order> orders) {
    if (orders.get(0) instanceof Order.RollBack rollBack) {
      return orders.size() > 1 ? alone() : rollBack(context, rollBack.revision());
    }
    return acceptance
        .newest()
        .recover(ConfigurationOrders::unavailable)
        .compose(root -> change(context, orders, root.configuration()));
  }

  /** Puts a whole object in the place of the one of that name, or creates it. */
  Future<OrderOutcome> put(OrderContext context, ConfigurationObject object) {
    return submit(context, context.baseRevision(), List.of(new ConfigurationOperation.Put(object)));
  }

  private Future<OrderOutcome> change(
      OrderContext context, List<Order> orders, Configuration current) {
    Draft draft = new Draft(current);
    try {
      for (Order order : orders) {
        draft.apply(order);
      }
    } catch (AdministrationException failure) {
      return Future.failedFuture(failure);
    }
    // Fields that an order does not name keep the value that was just read. Naming that revision as
    // the base makes a change of the same object in between a conflict instead of a silent revert.
    Optional<Long> base = context.baseRevision().or(() -> Optional.of(current.revision()));
    return submit(context, base, draft.operations());
  }

  private Future<OrderOutcome> submit(
      OrderContext context, Optional<Long> base, List<ConfigurationOperation> operations) {
    ConfigurationChange change =
        new ConfigurationChange(
            context.order(), context.operator().name(), context.summary(), base, operations);
    Future<ChangeResult> result =
        context.isDryRun() ? acceptance.validate(change) : acceptance.accept(change);
    return result.compose(this::outcome);
  }

  private Future<OrderOutcome> rollBack(OrderContext context, long revision) {
    if (!context.isDryRun()) {
      return acceptance
          .rollBack(
              context.order(),
              context.operator().name(),
              context.summary(),
              context.baseRevision(),
              revision)
          .compose(this::outcome);
    }
    return acceptance
        .revision(revision)
        .recover(ConfigurationOrders::unavailable)
        .compose(
            kept ->
                kept.isPresent()
                    ? submit(
                        context,
                        context.baseRevision(),
                        List.of(new ConfigurationOperation.Restore(kept.get().configuration())))
                    : refused(new ChangeRefusal.RevisionNotKept(revision)));
  }

  private static Future<OrderOutcome> alone() {
    return Future.failedFuture(
        new AdministrationException(
            AdministrationFailure.INVALID, "A roll back restores all objects and stands alone."));
  }

  private Future<OrderOutcome> outcome(ChangeResult result) {
    if (result instanceof ChangeResult.Accepted accepted) {
      long revision = accepted.record().revision();
      List<String> touched = accepted.record().touched().stream().map(ObjectKey::toString).toList();
      return inForce
          .apply(revision)
          .map(
              report ->
                  new OrderOutcome(
                      OrderOutcome.State.ACCEPTED,
                      Optional.of(revision),
                      Optional.of(report),
                      touched));
    }
    if (result instanceof ChangeResult.DryRun trial) {
      return Future.succeededFuture(
          new OrderOutcome(
              OrderOutcome.State.TRIED,
              Optional.of(trial.difference().toRevision()),
              Optional.empty(),
              trial.difference().objects().stream().map(ConfigurationOrders::described).toList()));
    }
    return refused(((ChangeResult.Refused) result).refusal());
  }

  private static String described(ConfigurationDifference.ObjectDifference difference) {
    if (difference.before().isEmpty()) {
      return difference.key() + " is new";
    }
    if (difference.after().isEmpty()) {
      return difference.key() + " is deleted";
    }
    StringBuilder text = new StringBuilder(difference.key().toString());
    difference
        .fields()
        .forEach(
            field ->
                text.append(", ")
                    .append(field.field())
                    .append(": ")
                    .append(field.before())
                    .append(" becomes ")
                    .append(field.after()));
    return text.toString();
  }

  private static Future<OrderOutcome> refused(ChangeRefusal refusal) {
    List<AdministrationException.Problem> problems = new ArrayList<>();
    if (refusal instanceof ChangeRefusal.Invalid invalid) {
      invalid
          .problems()
          .forEach(
              problem ->
                  problems.add(
                      new AdministrationException.Problem(
                          problem.object() + "/" + problem.field(),
                          problem.value(),
                          problem.allowed(),
                          problem.nearest())));
    }
    return Future.failedFuture(
        new AdministrationException(failureOf(refusal), refusal.message(), problems));
  }

  private static AdministrationFailure failureOf(ChangeRefusal refusal) {
    if (refusal instanceof ChangeRefusal.Conflict || refusal instanceof ChangeRefusal.BaseUnknown) {
      return AdministrationFailure.CONFLICT;
    }
    if (refusal instanceof ChangeRefusal.Unsettled) {
      return AdministrationFailure.UNSETTLED;
    }
    if (refusal instanceof ChangeRefusal.StoreUnavailable
        || refusal instanceof ChangeRefusal.StoreBehind) {
      return AdministrationFailure.STORE_UNAVAILABLE;
    }
    return AdministrationFailure.INVALID;
  }

  private static <T> Future<T> unavailable(Throwable failure) {
    return Future.failedFuture(
        new AdministrationException(
            AdministrationFailure.STORE_UNAVAILABLE,
            "The configuration cannot be read and nothing was changed: " + failure.getMessage()));
  }

  /** Applies orders one after the other, so that a later one sees what an earlier one did. */
  private static final class Draft {
    private final Map<ObjectKey, ConfigurationObject> objects = new LinkedHashMap<>();
    private final Map<ObjectKey, ConfigurationOperation> operations = new LinkedHashMap<>();

    Draft(Configuration current) {
      for (ObjectKind kind : ObjectKind.values()) {
        kind.in(current).forEach(object -> objects.put(object.key(), object));
      }
    }

    List<ConfigurationOperation> operations() {
      return List.copyOf(operations.values());
    }

    void apply(Order order) throws AdministrationException {
      if (order instanceof Order.Create create) {
        create(create);
      } else if (order instanceof Order.Change change) {
        change(key(change.form(), change.name()), change.assignments());
      } else if (order instanceof Order.Delete delete) {
        delete(key(delete.form(), delete.name()));
      } else if (order instanceof Order.DrainUpstream drain) {
        change(
            key(ObjectForm.UPSTREAM, drain.upstream().value()),
            List.of(drained(drain.isDrained())));
      } else {
        throw new AdministrationException(
            AdministrationFailure.INVALID, order.canonical() + " cannot be one of several orders.");
      }
    }

    private static Assignment drained(boolean isDrained) {
      return new Assignment(
          ObjectForm.UPSTREAM.field("drained").orElseThrow(),
          FieldValue.of(String.valueOf(isDrained)));
    }

    private void create(Order.Create create) throws AdministrationException {
      ObjectKey key = key(create.form(), create.name());
      if (objects.containsKey(key)) {
        throw new AdministrationException(
            AdministrationFailure.INVALID,
            key + " exists; allowed: a new name, or change instead of create.",
            List.of(problem(key, "a new name", Optional.empty())));
      }
      try {
        put(key, ObjectFields.created(key.kind(), key.name(), create.assignments()));
      } catch (ConfigurationFormatException failure) {
        throw malformed(failure);
      }
    }

    private void change(ObjectKey key, List<Assignment> assignments)
        throws AdministrationException {
      try {
        put(key, ObjectFields.changed(existing(key), assignments));
      } catch (ConfigurationFormatException failure) {
        throw malformed(failure);
      }
    }

    private void delete(ObjectKey key) throws AdministrationException {
      existing(key);
      objects.remove(key);
      operations.put(key, new ConfigurationOperation.Delete(key));
    }

    private void put(ObjectKey key, ConfigurationObject object) {
      objects.put(key, object);
      operations.put(key, new ConfigurationOperation.Put(object));
    }

    private ConfigurationObject existing(ObjectKey key) throws AdministrationException {
      if (objects.containsKey(key)) {
        return objects.get(key);
      }
      List<String> names =
          objects.keySet().stream()
              .filter(other -> other.kind() == key.kind())
              .map(ObjectKey::name)
              .toList();
      Optional<String> nearest = NearestName.of(key.name(), names);
      String hint = nearest.map(name -> "; did you mean " + name + "?").orElse("");
      throw new AdministrationException(
          AdministrationFailure.NOT_FOUND,
          key + " does not exist" + hint,
          List.of(problem(key, "an existing " + key.kind().code(), nearest)));
    }

    private static AdministrationException.Problem problem(
        ObjectKey key, String allowed, Optional<String> nearest) {
      return new AdministrationException.Problem(key.kind().code(), key.name(), allowed, nearest);
    }

    private static AdministrationException malformed(ConfigurationFormatException failure) {
      return new AdministrationException(AdministrationFailure.INVALID, failure.getMessage());
    }

    private static ObjectKey key(ObjectForm form, String name) {
      return new ObjectKey(form.kind(), name);
    }
  }
}
