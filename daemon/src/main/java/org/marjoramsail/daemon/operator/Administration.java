package org.marjoramsail.daemon.operator;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.configuration.ConfigurationObject;
import org.marjoramsail.core.configuration.OrderId;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.configuration.ConfigurationFormatException;
import org.marjoramsail.language.Assignment;
import org.marjoramsail.language.Command;
import org.marjoramsail.language.Condition;
import org.marjoramsail.language.ObjectForm;
import org.marjoramsail.language.Order;
import org.marjoramsail.language.OrderBlock;
import org.marjoramsail.language.OrderTarget;
import org.marjoramsail.language.Question;
import org.marjoramsail.language.StatementException;
import org.marjoramsail.language.StatementParser;
import org.marjoramsail.language.Subject;

/** Answers questions and has orders carried out, for those who may. Safe on any thread. */
public final class Administration {

  /** How many rows an answer has at most. */
  public static final int MOST_ROWS = 1_000;

  private final StatementParser parser;
  private final FleetQueries queries;
  private final ConfigurationOrders configurationOrders;
  private final Map<OrderTarget, OrderExecutor> executors;
  private final AuditLog audit;
  private final String host;
  private final Clock wallClock;
  private final MeterRegistry meters;

  /**
   * Creates an instance with all that it needs.
   *
   * @param queries asks all daemons
   * @param configurationOrders carries out orders to the configuration
   * @param others carry out the orders to other targets; one without an executor is refused
   * @param audit keeps a record of each order
   * @param host the host of this daemon, for the records
   * @param wallClock dates the records, in milliseconds since 1970
   * @param meters count orders by outcome
   */
  public Administration(
      FleetQueries queries,
      ConfigurationOrders configurationOrders,
      Map<OrderTarget, OrderExecutor> others,
      AuditLog audit,
      String host,
      Clock wallClock,
      MeterRegistry meters) {
    this.parser = new StatementParser();
    this.queries = queries;
    this.configurationOrders = configurationOrders;
    this.executors = new EnumMap<>(OrderTarget.class);
    this.executors.putAll(others);
    this.executors.put(OrderTarget.CONFIGURATION, configurationOrders);
    this.audit = audit;
    this.host = host;
    this.wallClock = wallClock;
    this.meters = meters;
  }

  /**
   * Does what a statement says.
   *
   * @param isDryRun whether orders are only tried, also where the statement does not say so
   * @param order names the order, chosen by the operator's side
   * @param base the revision that the operator saw
   * @return fails with an {@link AdministrationException}
   */
  public Future<StatementResponse> run(
      OperatorIdentity operator,
      String text,
      boolean isDryRun,
      OrderId order,
      Optional<Long> base) {
    Command command;
    try {
      command = parser.parse(text);
    } catch (StatementException failure) {
      return Future.failedFuture(malformed(failure));
    }
    if (command.statement() instanceof Question question) {
      return ask(operator, question);
    }
    boolean isTrial = isDryRun || command.isDryRun();
    String summary = command.statement().canonical();
    OrderContext context = new OrderContext(operator, order, isTrial, base, summary);
    return carryOut(context, ordersOf(command));
  }

  /** Answers a question. */
  public Future<StatementResponse> ask(OperatorIdentity operator, Question question) {
    if (question instanceof Question.Show show) {
      return ask(operator, show.subject(), show.of(), show.conditions());
    }
    String request = ((Question.Explain) question).request().value();
    return ask(operator, Subject.REQUEST, Optional.of(request), List.of());
  }

  private Future<StatementResponse> ask(
      OperatorIdentity operator,
      Subject subject,
      Optional<String> name,
      List<Condition> conditions) {
    try {
      Permissions.checkQuestion(operator, subject);
    } catch (AdministrationException failure) {
      return Future.failedFuture(failure);
    }
    OperatorQueryMessage question =
        new OperatorQueryMessage(0, subject, name, conditions, operator.organisation(), MOST_ROWS);
    return queries.ask(question).map(StatementResponse.Table::new);
  }

  /** Has orders carried out, and keeps a record of it. */
  public Future<StatementResponse> carryOut(OrderContext context, List<Order> orders) {
    return recorded(
        context,
        permitted(context, orders).compose(executor -> executor.carryOut(context, orders)));
  }

  /** Puts a whole object in the place of the one of that name, or creates it. */
  Future<StatementResponse> put(
      OrderContext context, ObjectForm form, String name, ObjectNode json) {
    ConfigurationObject object;
    try {
      object = ObjectFields.ofJson(form.kind(), name, json);
    } catch (ConfigurationFormatException failure) {
      String detail = failure.getMessage();
      return Future.failedFuture(
          new AdministrationException(AdministrationFailure.INVALID, detail));
    }
    List<Order> asOrder = List.of(new Order.Create(form, name, List.<Assignment>of()));
    return recorded(
        context,
        permitted(context, asOrder).compose(executor -> configurationOrders.put(context, object)));
  }

  private Future<OrderExecutor> permitted(OrderContext context, List<Order> orders) {
    try {
      Permissions.checkOrders(context.operator(), orders);
    } catch (AdministrationException failure) {
      return Future.failedFuture(failure);
    }
    OrderTarget target = orders.get(0).target();
    return Optional.ofNullable(executors.get(target))
        .map(Future::succeededFuture)
        .orElseGet(
            () ->
                Future.failedFuture(
                    new AdministrationException(
                        AdministrationFailure.NOT_SUPPORTED,
                        "This daemon carries out no orders to a "
                            + target.name().toLowerCase(Locale.ROOT)
                            + "; nothing was done.")));
  }

  private Future<StatementResponse> recorded(OrderContext context, Future<OrderOutcome> outcome) {
    return outcome
        .onSuccess(done -> keep(context, done.state().name().toLowerCase(Locale.ROOT)))
        .onFailure(failure -> keep(context, codeOf(failure)))
        .map(done -> new StatementResponse.Ordered(context.order(), done));
  }

  private void keep(OrderContext context, String outcome) {
    meters.counter("marjoramsail.operator.orders", "outcome", outcome).increment();
    audit.add(
        new AuditRecord(
            context.order().value(),
            wallClock.millis(),
            host,
            context.operator().name(),
            context.operator().organisation(),
            (context.isDryRun() ? "dry run " : "") + context.summary(),
            outcome));
  }

  private static String codeOf(Throwable failure) {
    return failure instanceof AdministrationException refused
        ? refused.failure().code()
        : AdministrationFailure.INTERNAL.code();
  }

  private static List<Order> ordersOf(Command command) {
    return command.statement() instanceof OrderBlock block
        ? block.orders()
        : List.of((Order) command.statement());
  }

  private static AdministrationException malformed(StatementException failure) {
    return new AdministrationException(
        AdministrationFailure.MALFORMED,
        failure.getMessage(),
        List.of(
            new AdministrationException.Problem(
                "text:" + failure.line() + ":" + failure.column(),
                failure.found(),
                String.join(", ", failure.allowed()),
                failure.nearest())));
  }
}
