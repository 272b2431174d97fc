package org.marjoramsail.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.OrderId;
import org.marjoramsail.core.configuration.RuleDefinition;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.daemon.configuration.FakeStore;
import org.marjoramsail.daemon.settings.OperatorRole;
import org.marjoramsail.language.ResultTable;

class AdministrationTest {

  private OperatorFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new OperatorFixture();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "viewer | | show requests | ",
        "viewer | | show configuration | ",
        "viewer | | drain upstream plataforma-votacion-1 | FORBIDDEN",
        "viewer | | dry run delete rule ballots | FORBIDDEN",
        "operator | | drain upstream plataforma-votacion-1 | ",
        "operator | | lift quarantine f | ",
        "operator | | delete rule ballots | FORBIDDEN",
        "operator | | roll back to revision 1 | FORBIDDEN",
        "administrator | | delete rule ballots | ",
        "viewer | comuna-maipu | show requests | ",
        "viewer | comuna-maipu | show limits | ",
        "viewer | comuna-maipu | show configuration | FORBIDDEN",
        "viewer | comuna-maipu | show history | FORBIDDEN",
        "viewer | comuna-maipu | show quarantine | FORBIDDEN",
        "viewer | comuna-maipu | show parts | FORBIDDEN",
        "operator | comuna-maipu | drain upstream plataforma-votacion-1 | FORBIDDEN",
        "administrator | comuna-maipu | delete rule ballots | FORBIDDEN",
        "administrator | comuna-maipu | change organisation comuna-maipu with weight = 9 | FORBIDDEN",
        "administrator | comuna-maipu | change organisation comuna-nunoa with token-hashes = []"
            + " | FORBIDDEN",
        "administrator | comuna-maipu | change organisation comuna-maipu with token-hashes = [] | ",
        "operator | comuna-maipu | change organisation comuna-maipu with token-hashes = []"
            + " | FORBIDDEN",
      })
  void eachRoleMayDoWhatItsTokenSaysAndNoMore(
      String role, String organisation, String statement, AdministrationFailure refusal)
      throws Exception {
    OperatorIdentity operator =
        new OperatorIdentity(
            "t",
            OperatorRole.valueOf(role.toUpperCase(Locale.ROOT)),
            Optional.ofNullable(organisation));
    Configuration before = fixture.stored();

    Future<StatementResponse> answer = fixture.run(operator, statement);

    assertThat(Optional.ofNullable(answer.cause()).map(AdministrationTest::failureOf))
        .isEqualTo(Optional.ofNullable(refusal));
    if (refusal != null) {
      assertThat(fixture.stored()).isEqualTo(before);
    }
  }

  @Test
  void noOrganisationSeesTheRequestsOfAnother() {
    fixture.state.addRequest("a", "comuna-maipu");
    fixture.state.addRequest("b", "comuna-nunoa");
    fixture.state.addWaiting("b", "comuna-nunoa");
    OperatorIdentity maipu =
        new OperatorIdentity("m", OperatorRole.VIEWER, Optional.of("comuna-maipu"));

    assertThat(table(fixture.run(maipu, "show requests")).cellsOf("request")).containsExactly("a");
    assertThat(table(fixture.run(maipu, "show requests where organisation = comuna-nunoa")).rows())
        .isEmpty();
    assertThat(table(fixture.run(maipu, "explain request b")).rows()).isEmpty();
  }

  @Test
  void anExplanationNamesTheRuleTheMissingResourceThePlaceAndTheEstimate() {
    fixture.state.addRequest("r", "comuna-maipu");
    fixture.state.addWaiting("r", "comuna-maipu");

    ResultTable table = table(fixture.run(OperatorFixture.ADMINISTRATOR, "explain request r"));

    assertThat(table.cellsOf("detail"))
        .containsExactly(
            "lector, rule summaries, deferrable",
            "retried kv-expired on lector-decode-1",
            "place 3 in lector/litoral/0, misses decode-slot, rule summaries, waited 400 ms, about"
                + " 1200 ms to go");
  }

  @Test
  void aSilentHostIsNamedAndItsLateAnswerChangesNothing() {
    // One of three daemons hangs while an operator looks for a request.
    // The answer must come all the same, and must not look as if it were whole.
    DaemonId second = new DaemonId("entry-2", 5);
    DaemonId third = new DaemonId("entry-3", 6);
    fixture.state.addMember(second);
    fixture.state.addMember(third);

    Future<StatementResponse> answer = fixture.run(OperatorFixture.ADMINISTRATOR, "show revision");
    OperatorQueryMessage question = (OperatorQueryMessage) fixture.sent.get(0).message();
    OperatorResultMessage reply =
        new OperatorResultMessage(
            question.number(), List.of(List.of("entry-2", "peer", "6", "1")), false);
    fixture.queries.handle(second, reply);
    assertThat(answer.isComplete()).isFalse();
    fixture.timers.advance(PeerFleetQueries.PATIENCE_MILLIS);
    fixture.queries.handle(third, reply);

    assertThat(table(answer).silentHosts()).containsExactly("entry-3");
    assertThat(table(answer).cellsOf("host")).containsExactlyInAnyOrder("entry-1", "entry-2");
  }

  @Test
  void severalOrdersAreInForceTogetherOrNotAtAll() throws Exception {
    Configuration before = fixture.stored();

    Future<StatementResponse> refused =
        fixture.run(
            OperatorFixture.ADMINISTRATOR,
            "begin; change rule ballots with deadline-millis = 1; delete service lost; commit");

    assertThat(failureOf(refused.cause())).isEqualTo(AdministrationFailure.NOT_FOUND);
    assertThat(fixture.stored()).isEqualTo(before);
  }

  @Test
  void aLaterOrderOfOneChangeSeesAnEarlierOne() throws Exception {
    fixture.run(
        OperatorFixture.ADMINISTRATOR,
        "{ change rule ballots with deadline-millis = 7000;"
            + " change rule ballots with per-token-target-millis = 5 }");

    RuleDefinition rule = fixture.stored().rules().get(0);
    assertThat(rule.deadlineMillis()).isEqualTo(7000);
    assertThat(rule.perTokenTargetMillis()).isEqualTo(5);
    assertThat(fixture.stored().revision()).isEqualTo(2);
  }

  @Test
  void theSameOrderAgainHasNoFurtherEffect() throws Exception {
    // An operator's connection breaks after an order was sent, and the operator sends it again.
    // The second must tell what became of the first, and must not count as another change.
    OrderId order = new OrderId("night-1");
    String text = "change rule ballots with deadline-millis = 7000";

    Future<StatementResponse> first = runAs(order, text);
    Future<StatementResponse> again = runAs(order, text);

    assertThat(again.result()).isEqualTo(first.result());
    assertThat(fixture.stored().revision()).isEqualTo(2);
  }

  @Test
  void aDryRunChangesNothingAndSaysWhatWouldChange() throws Exception {
    Future<StatementResponse> answer =
        fixture.run(
            OperatorFixture.ADMINISTRATOR,
            "dry run change rule ballots with deadline-millis = 7000");

    StatementResponse.Ordered ordered = (StatementResponse.Ordered) answer.result();
    assertThat(ordered.outcome().state()).isEqualTo(OrderOutcome.State.TRIED);
    assertThat(ordered.outcome().details())
        .containsExactly("rule/ballots, deadlineMillis: 10000 becomes 7000");
    assertThat(fixture.stored().revision()).isEqualTo(1);
  }

  @Test
  void anOrderWhileTheStoreIsDownIsRefusedAsNotDone() throws Exception {
    fixture.store.faults(call -> FakeStore.Fault.UNAVAILABLE);

    Future<StatementResponse> answer =
        fixture.run(OperatorFixture.ADMINISTRATOR, "delete rule ballots");

    assertThat(failureOf(answer.cause())).isEqualTo(AdministrationFailure.STORE_UNAVAILABLE);
    assertThat(answer.cause()).hasMessageContaining("nothing was changed");
  }

  @Test
  void aMistypedNameIsRefusedWithTheOneThatWasMeant() {
    Future<StatementResponse> answer =
        fixture.run(OperatorFixture.ADMINISTRATOR, "delete rule balots");

    assertThat(answer.cause()).hasMessage("rule/balots does not exist; did you mean ballots?");
  }

  @Test
  void eachOrderIsRecordedWithItsOutcomeAndQuestionsAreNot() {
    fixture.run(OperatorFixture.ADMINISTRATOR, "show shards");
    fixture.run(OperatorFixture.ADMINISTRATOR, "delete   rule ballots;");
    fixture.run(OperatorFixture.ADMINISTRATOR, "dry run delete rule lost");

    assertThat(fixture.audit)
        .extracting(entry -> entry.operator() + ": " + entry.statement() + ": " + entry.outcome())
        .containsExactly(
            "ana: delete rule ballots: accepted", "ana: dry run delete rule lost: not-found");
  }

  private Future<StatementResponse> runAs(OrderId order, String text) {
    return fixture.administration.run(
        OperatorFixture.ADMINISTRATOR, text, false, order, Optional.empty());
  }

  private static ResultTable table(Future<StatementResponse> answer) {
    return ((StatementResponse.Table) answer.result()).table();
  }

  private static AdministrationFailure failureOf(Throwable failure) {
    return ((AdministrationException) failure).failure();
  }
}
