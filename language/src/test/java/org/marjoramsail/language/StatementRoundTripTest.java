package org.marjoramsail.language;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

class StatementRoundTripTest {

  private final StatementParser parser = new StatementParser();

  @Property(seed = "42", tries = 2000)
  void theCanonicalSpellingParsesToTheSameCommand(@ForAll("commands") Command command)
      throws StatementException {
    assertThat(parser.parse(command.canonical())).isEqualTo(command);
  }

  @Property(seed = "43", tries = 2000)
  void anyTextIsEitherACommandOrATypedError(@ForAll("damaged") String text) {
    String canonical;
    try {
      canonical = parser.parse(text).canonical();
    } catch (StatementException failure) {
      assertThat(failure.offset()).isBetween(0, text.length());
      assertThat(failure.allowed()).isNotEmpty();
      return;
    }
    assertThat(canonical).isNotBlank();
  }

  @Provide
  Arbitrary<Command> commands() {
    Arbitrary<Statement> statements =
        Arbitraries.oneOf(
            questions().map(question -> question),
            orders().map(order -> order),
            configurationOrders().list().ofMinSize(1).ofMaxSize(4).map(OrderBlock::new));
    return statements.flatMap(
        statement -> Arbitraries.of(true, false).map(isDryRun -> new Command(isDryRun, statement)));
  }

  @Provide
  Arbitrary<String> damaged() {
    Arbitrary<String> noise = Arbitraries.strings().withChars("show \"{};=[],\\#x1").ofMaxLength(6);
    return commands()
        .flatMap(
            command -> {
              String text = command.canonical();
              return Arbitraries.integers()
                  .between(0, text.length())
                  .flatMap(
                      cut ->
                          noise.map(
                              inserted -> text.substring(0, cut) + inserted + text.substring(cut)));
            });
  }

  private static Arbitrary<String> names() {
    return Arbitraries.strings()
        .withCharRange('a', 'z')
        .withChars("0-. \"\\\n=;é#")
        .ofMinLength(1)
        .ofMaxLength(8)
        .filter(name -> !name.isBlank());
  }

  private static Arbitrary<Question> questions() {
    Arbitrary<Question> shows =
        Arbitraries.of(Subject.values())
            .filter(Subject::isListed)
            .flatMap(
                subject ->
                    conditions(subject)
                        .list()
                        .ofMaxSize(3)
                        .flatMap(
                            conditions -> names().map(name -> show(subject, name, conditions))));
    return Arbitraries.oneOf(shows, names().map(name -> new Question.Explain(new RequestId(name))));
  }

  private static Question show(Subject subject, String name, List<Condition> conditions) {
    boolean isConfined = subject.hasService() && name.length() > 4;
    return new Question.Show(
        subject, isConfined ? Optional.of(name) : Optional.empty(), conditions);
  }

  private static Arbitrary<Condition> conditions(Subject subject) {
    return Arbitraries.of(subject.columnNames())
        .flatMap(
            column ->
                Arbitraries.of(Condition.Comparison.values())
                    .flatMap(
                        comparison ->
                            names().map(value -> new Condition(column, comparison, value))));
  }

  private static Arbitrary<Order> orders() {
    Arbitrary<UpstreamName> upstreams = names().map(UpstreamName::new);
    return Arbitraries.oneOf(
        configurationOrders(),
        names().map(Order.LiftQuarantine::new),
        names().map(name -> new Order.DrainHost(name, name.length() > 3)),
        upstreams.flatMap(
            upstream ->
                names()
                    .flatMap(
                        model ->
                            names().map(version -> new Order.LoadModel(model, version, upstream)))),
        upstreams.flatMap(
            upstream ->
                Arbitraries.of(UpstreamRole.values())
                    .map(role -> new Order.ChangeRole(upstream, role))));
  }

  private static Arbitrary<Order> configurationOrders() {
    Arbitrary<ObjectForm> kinds = Arbitraries.of(ObjectForm.values());
    return Arbitraries.oneOf(
        Arbitraries.longs().between(0, 1L << 40).map(Order.RollBack::new),
        names().map(name -> new Order.DrainUpstream(new UpstreamName(name), name.length() > 3)),
        kinds.flatMap(kind -> names().map(name -> new Order.Delete(kind, name))),
        kinds.flatMap(
            kind ->
                names()
                    .flatMap(
                        name ->
                            seeds().map(seed -> new Order.Create(kind, name, all(kind, seed))))),
        kinds.flatMap(
            kind ->
                names()
                    .flatMap(
                        name ->
                            seeds().map(seed -> new Order.Change(kind, name, some(kind, seed))))));
  }

  private static Arbitrary<Long> seeds() {
    return Arbitraries.longs();
  }

  private static List<Assignment> all(ObjectForm kind, long seed) {
    Random random = new Random(seed);
    List<Assignment> assignments = new ArrayList<>();
    for (ObjectField field : kind.fields()) {
      assignments.add(new Assignment(field, value(field, random)));
    }
    return assignments;
  }

  private static List<Assignment> some(ObjectForm kind, long seed) {
    List<Assignment> assignments = all(kind, seed);
    return assignments.subList(0, 1 + (int) Math.floorMod(seed, (long) assignments.size()));
  }

  private static FieldValue value(ObjectField field, Random random) {
    if (!field.choices().isEmpty()) {
      return FieldValue.of(field.choices().get(random.nextInt(field.choices().size())));
    }
    return switch (field.type()) {
      case INTEGER -> FieldValue.of(String.valueOf(random.nextInt(1_000_000)));
      case NUMBER -> FieldValue.of(random.nextInt(1000) + "." + random.nextInt(100));
      case LIST -> FieldValue.list(random.nextBoolean() ? List.of() : List.of("a b", "c"));
      case TEXT, FLAG, CHOICE -> FieldValue.of("text \"" + random.nextInt(10) + "\"");
    };
  }
}
