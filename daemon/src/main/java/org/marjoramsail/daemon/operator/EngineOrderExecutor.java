package org.marjoramsail.daemon.operator;

import io.vertx.core.Future;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ModelDefinition;
import org.marjoramsail.core.configuration.ServiceDefinition;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.order.OperatorOrder;
import org.marjoramsail.daemon.configuration.ConfigurationFormat;
import org.marjoramsail.daemon.order.OperatorOrderDocument;
import org.marjoramsail.daemon.order.OrderService;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.platform.ObjectApiException;
import org.marjoramsail.language.Assignment;
import org.marjoramsail.language.FieldValue;
import org.marjoramsail.language.NearestName;
import org.marjoramsail.language.ObjectForm;
import org.marjoramsail.language.Order;

/**
 * Records orders to engines, which the holder of a lease carries out.
 *
 * <p>Engines are brought to what the configuration says, so a role is changed there; an engine that
 * got another role or version past the configuration would be changed back.
 */
public final class EngineOrderExecutor implements OrderExecutor {

  private final ObjectApi store;
  private final Supplier<Configuration> configuration;
  private final OrderExecutor configurationOrders;

  /**
   * Creates an instance with all that it needs.
   *
   * @param store keeps the orders until they are carried out
   * @param configuration the configuration in force
   * @param configurationOrders changes the configuration
   */
  public EngineOrderExecutor(
      ObjectApi store, Supplier<Configuration> configuration, OrderExecutor configurationOrders) {
    this.store = store;
    this.configuration = configuration;
    this.configurationOrders = configurationOrders;
  }

  @Override
  public Future<OrderOutcome> carryOut(OrderContext context, List<Order> orders) {
    try {
      return orders.get(0) instanceof Order.ChangeRole change
          ? changeRole(context, change)
          : load(context, (Order.LoadModel) orders.get(0));
    } catch (AdministrationException failure) {
      return Future.failedFuture(failure);
    }
  }

  private Future<OrderOutcome> changeRole(OrderContext context, Order.ChangeRole change)
      throws AdministrationException {
    UpstreamDefinition engine = engine(change.upstream());
    if (change.role() == UpstreamRole.PLAIN) {
      throw invalid("role", "plain", "prefill, decode", Optional.empty());
    }
    String role = change.role().name().toLowerCase(Locale.ROOT);
    Assignment assignment =
        new Assignment(ObjectForm.UPSTREAM.field("role").orElseThrow(), FieldValue.of(role));
    Order asChange =
        new Order.Change(ObjectForm.UPSTREAM, engine.name().value(), List.of(assignment));
    return configurationOrders.carryOut(context, List.of(asChange));
  }

  private Future<OrderOutcome> load(OrderContext context, Order.LoadModel load)
      throws AdministrationException {
    UpstreamDefinition engine = engine(load.upstream());
    ModelDefinition model = modelOf(engine);
    if (!load.model().equals(model.name())) {
      throw invalid("model", load.model(), model.name(), Optional.of(model.name()));
    }
    if (!load.version().equals(model.version())) {
      String allowed = model.version() + ", or first: change model " + model.name();
      throw invalid("version", load.version(), allowed, Optional.of(model.version()));
    }
    List<String> details =
        List.of(
            "service " + engine.service() + " goes on loading, also where a load has failed",
            "show orders tells how far it is");
    if (context.isDryRun()) {
      return Future.succeededFuture(OrderOutcome.of(OrderOutcome.State.TRIED, details));
    }
    OperatorOrder resume = new OperatorOrder.Resume(engine.service(), context.operator().name());
    return record(context, resume)
        .map(stored -> OrderOutcome.of(OrderOutcome.State.ACCEPTED, details));
  }

  private Future<Void> record(OrderContext context, OperatorOrder order) {
    OperatorOrderDocument document =
        new OperatorOrderDocument(order, Optional.of(context.operator().name()));
    return store
        .create(
            OrderService.ORDER_KIND, context.order().value(), ConfigurationFormat.toTree(document))
        .<Void>mapEmpty()
        .recover(EngineOrderExecutor::unlessRecorded);
  }

  /** The same order again, or one whose answer was lost: it stands there under its own name. */
  private static Future<Void> unlessRecorded(Throwable failure) {
    if (!(failure instanceof ObjectApiException refused)) {
      return Future.failedFuture(failure);
    }
    return switch (refused.failure()) {
      case ALREADY_EXISTS -> Future.succeededFuture();
      case UNCERTAIN ->
          Future.failedFuture(
              new AdministrationException(
                  AdministrationFailure.UNSETTLED,
                  "Whether the order was recorded is not known; send it again with the same name: "
                      + failure.getMessage()));
      default ->
          Future.failedFuture(
              new AdministrationException(
                  AdministrationFailure.STORE_UNAVAILABLE,
                  "The order was not recorded: " + failure.getMessage()));
    };
  }

  private UpstreamDefinition engine(UpstreamName name) throws AdministrationException {
    List<UpstreamDefinition> engines =
        configuration.get().upstreams().stream()
            .filter(upstream -> upstream.role() != UpstreamRole.PLAIN)
            .toList();
    List<String> names = engines.stream().map(engine -> engine.name().value()).toList();
    return engines.stream()
        .filter(engine -> engine.name().equals(name))
        .findFirst()
        .orElseThrow(
            () ->
                OperatorProblems.of(
                    AdministrationFailure.NOT_FOUND,
                    "upstream",
                    name.value(),
                    "a model engine of the configuration",
                    NearestName.of(name.value(), names)));
  }

  private ModelDefinition modelOf(UpstreamDefinition engine) throws AdministrationException {
    Configuration current = configuration.get();
    Optional<String> model =
        current.services().stream()
            .filter(service -> service.name().equals(engine.service()))
            .findFirst()
            .flatMap(ServiceDefinition::model);
    return current.models().stream()
        .filter(candidate -> model.filter(candidate.name()::equals).isPresent())
        .findFirst()
        .orElseThrow(
            () ->
                invalid(
                    "upstream",
                    engine.name().value(),
                    "an engine of a service with a model",
                    Optional.empty()));
  }

  private static AdministrationException invalid(
      String field, String value, String allowed, Optional<String> nearest) {
    return OperatorProblems.of(AdministrationFailure.INVALID, field, value, allowed, nearest);
  }
}
