package org.marjoramsail.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ModelDefinition;
import org.marjoramsail.core.configuration.OrderId;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.daemon.order.OrderService;
import org.marjoramsail.language.Order;
import org.marjoramsail.language.ResultTable;
import org.marjoramsail.language.Subject;

final class OrderExecutorsTest {

  private static final String ENGINE = "asistente-concejo-decode-1";

  private final OperatorFixture fixture;
  private final Configuration configuration;
  private final List<Order> changes = new ArrayList<>();

  OrderExecutorsTest() throws Exception {
    fixture = new OperatorFixture();
    configuration = fixture.stored();
  }

  @Test
  void aLoadOfAVersionThatARolloutWouldUndoIsRefusedWithTheConfiguredOne() {
    ModelDefinition model = configuration.models().get(0);

    Future<OrderOutcome> outcome =
        engines()
            .carryOut(context(), List.of(new Order.LoadModel(model.name(), "other", name(ENGINE))));

    AdministrationException refusal = (AdministrationException) outcome.cause();
    assertThat(refusal.failure()).isEqualTo(AdministrationFailure.INVALID);
    assertThat(refusal.problems().get(0).nearest()).contains(model.version());
    assertThat(fixture.store.list(OrderService.ORDER_KIND).result().objects()).isEmpty();
  }

  @Test
  void theSameOrderToAnEngineIsRecordedOnce() {
    ModelDefinition model = configuration.models().get(0);
    List<Order> load = List.of(new Order.LoadModel(model.name(), model.version(), name(ENGINE)));

    engines().carryOut(context(), load);
    Future<OrderOutcome> again = engines().carryOut(context(), load);

    assertThat(again.result().state()).isEqualTo(OrderOutcome.State.ACCEPTED);
    assertThat(fixture.store.list(OrderService.ORDER_KIND).result().objects()).hasSize(1);
  }

  @Test
  void aChangeOfRoleIsAChangeOfTheConfiguration() {
    engines()
        .carryOut(context(), List.of(new Order.ChangeRole(name(ENGINE), UpstreamRole.PREFILL)));

    assertThat(changes)
        .extracting(Order::canonical)
        .containsExactly("change upstream " + ENGINE + " with role = prefill");
  }

  @Test
  void allServersAtAnAddressAreDrainedByOneChange() {
    String address = configuration.upstreams().get(0).address();
    List<UpstreamName> there =
        configuration.upstreams().stream()
            .filter(upstream -> upstream.address().equals(address))
            .map(UpstreamDefinition::name)
            .toList();

    hosts().carryOut(context(), List.of(new Order.DrainHost(address, true)));

    assertThat(changes)
        .containsExactlyElementsOf(
            there.stream().<Order>map(name -> new Order.DrainUpstream(name, true)).toList());
  }

  @Test
  void aContentThatOnlyAnotherDaemonRemembersIsLiftedThere() {
    // A daemon was replaced after a crash: it remembers no crash, and the operator happens to ask
    // it. Were the lift done there alone, the others would go on refusing the content.
    DaemonId other = new DaemonId("entry-2", 1);
    fixture.state.addMember(other);
    Set<Long> lifted = new HashSet<>();
    QuarantineOrderExecutor executor =
        new QuarantineOrderExecutor(
            fingerprint -> false,
            question ->
                Future.succeededFuture(
                    new ResultTable(
                        Subject.QUARANTINE.columns(),
                        List.of(List.of("00000000000000ff", "quarantined", "entry-2", "2", "5")),
                        List.of(),
                        false)),
            fixture.state::membership,
            (to, message) -> {
              assertThat(to).isEqualTo(other);
              lifted.add(((LiftQuarantineMessage) message).fingerprint());
            });

    executor.carryOut(context(), List.of(new Order.LiftQuarantine("00000000000000ff")));

    assertThat(lifted).containsExactly(255L);
  }

  /** Guards against a part that stays refused since only contents are looked for. */
  @Test
  void aPartOfPromptsIsLiftedWhereNoContentHasTheFingerprint() {
    Set<Long> lifted = new HashSet<>();
    QuarantineOrderExecutor executor =
        new QuarantineOrderExecutor(
            lifted::add,
            question -> Future.succeededFuture(tableOfOnePart(question.subject())),
            fixture.state::membership,
            (to, message) -> {});

    Future<OrderOutcome> outcome =
        executor.carryOut(context(), List.of(new Order.LiftQuarantine("00000000000000ff")));

    assertThat(outcome.succeeded()).isTrue();
    assertThat(lifted).containsExactly(255L);
  }

  private static ResultTable tableOfOnePart(Subject subject) {
    List<List<String>> rows =
        subject == Subject.PARTS
            ? List.of(List.of("00000000000000ff", "91bd3f06", "quarantined", "entry-1", "2", "5"))
            : List.of();
    return new ResultTable(subject.columns(), rows, List.of(), false);
  }

  private EngineOrderExecutor engines() {
    return new EngineOrderExecutor(fixture.store, () -> configuration, this::change);
  }

  private HostOrderExecutor hosts() {
    return new HostOrderExecutor(
        fixture.state::membership,
        () -> configuration,
        List::of,
        this::change,
        (to, message) -> {},
        () -> {},
        fixture.timers);
  }

  private Future<OrderOutcome> change(OrderContext context, List<Order> orders) {
    changes.addAll(orders);
    return Future.succeededFuture(OrderOutcome.of(OrderOutcome.State.ACCEPTED, List.of()));
  }

  private static UpstreamName name(String name) {
    return new UpstreamName(name);
  }

  private static OrderContext context() {
    return new OrderContext(
        OperatorFixture.ADMINISTRATOR, new OrderId("order-1"), false, Optional.empty(), "");
  }
}
