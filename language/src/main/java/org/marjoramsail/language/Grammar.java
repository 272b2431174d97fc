package org.marjoramsail.language;

import static org.marjoramsail.language.Lexis.keyword;
import static org.marjoramsail.language.Lexis.keywords;
import static org.marjoramsail.language.Lexis.name;
import static org.marjoramsail.language.Lexis.symbol;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.jparsec.Parser;
import org.jparsec.Parsers;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * The grammar of statements.
 *
 * <p>Columns, fields and choices are part of the grammar itself, so that each error names what is
 * allowed at its place, and completion offers the same.
 */
final class Grammar {

  private Grammar() {}

  static Parser<Command> command() {
    Parser<Boolean> dryRun = keywords("dry", "run").retn(true).optional(false);
    Parser<Statement> statement = Parsers.or(question(), order(), block());
    return Parsers.sequence(dryRun, statement, Command::new).followedBy(symbol(";").optional(null));
  }

  private static Parser<Question> question() {
    List<Parser<Question>> subjects =
        Arrays.stream(Subject.values()).filter(Subject::isListed).map(Grammar::subject).toList();
    Parser<Question> explain =
        keywords("explain", "request")
            .next(name(NameKind.REQUEST))
            .map(text -> new Question.Explain(new RequestId(text)));
    return Parsers.or(keyword("show").next(Parsers.or(subjects)), explain);
  }

  private static Parser<Question> subject(Subject subject) {
    Parser<Optional<String>> of =
        subject.hasService()
            ? keyword("of").next(name(NameKind.SERVICE)).asOptional()
            : Parsers.constant(Optional.empty());
    return keyword(subject.code())
        .next(
            Parsers.sequence(
                of,
                conditions(subject),
                (service, conditions) -> new Question.Show(subject, service, conditions)));
  }

  private static Parser<List<Condition>> conditions(Subject subject) {
    List<Parser<String>> columns =
        subject.columnNames().stream().map(column -> keyword(column)).toList();
    List<Parser<Condition.Comparison>> comparisons =
        Arrays.stream(Condition.Comparison.values())
            .map(comparison -> symbol(comparison.symbol()).retn(comparison))
            .toList();
    Parser<Condition> condition =
        Parsers.sequence(
            Parsers.or(columns),
            Parsers.or(comparisons),
            Lexis.text("a value", text -> true),
            Condition::new);
    return keyword("where").next(condition.sepBy1(keyword("and"))).optional(List.of());
  }

  private static Parser<Order> order() {
    return Parsers.or(configurationOrder(), engineOrder(), hostOrder(), quarantineOrder());
  }

  private static Parser<Order> configurationOrder() {
    List<Parser<Order>> creates = perKind(Grammar::create);
    List<Parser<Order>> changes = perKind(Grammar::change);
    List<Parser<Order>> deletes = perKind(Grammar::delete);
    Parser<Order> rollBack =
        Parsers.sequence(keywords("roll", "back"), keywords("to", "revision"), revision())
            .map(Order.RollBack::new);
    return Parsers.or(
        keyword("create").next(Parsers.or(creates)),
        keyword("change").next(Parsers.or(changes)),
        keyword("delete").next(Parsers.or(deletes)),
        drain("drain", true),
        drain("return", false),
        rollBack);
  }

  private static List<Parser<Order>> perKind(Function<ObjectForm, Parser<Order>> parser) {
    return Arrays.stream(ObjectForm.values()).map(parser).toList();
  }

  private static Parser<Long> revision() {
    return Lexis.text("a revision", FieldType.INTEGER::accepts).map(Long::valueOf);
  }

  private static Parser<Order> drain(String verb, boolean isDrained) {
    return keywords(verb, "upstream")
        .next(upstream())
        .map(upstream -> new Order.DrainUpstream(upstream, isDrained));
  }

  private static Parser<Order> hostOrder() {
    return Parsers.or(
        keywords("drain", "host")
            .next(name(NameKind.HOST))
            .map(host -> new Order.DrainHost(host, true)),
        keywords("return", "host")
            .next(name(NameKind.HOST))
            .map(host -> new Order.DrainHost(host, false)));
  }

  private static Parser<Order> engineOrder() {
    Parser<Order> load =
        Parsers.sequence(
            keywords("load", "model").next(name(NameKind.MODEL)),
            keyword("version").next(name(NameKind.VERSION)),
            keyword("on").next(upstream()),
            Order.LoadModel::new);
    List<Parser<UpstreamRole>> roles =
        Arrays.stream(UpstreamRole.values())
            .map(role -> keyword(Words.code(role)).retn(role))
            .toList();
    Parser<Order> role =
        Parsers.sequence(
            keywords("change", "role").next(keywords("of", "upstream")).next(upstream()),
            keyword("to").next(Parsers.or(roles)),
            Order.ChangeRole::new);
    return Parsers.or(load, role);
  }

  private static Parser<Order> quarantineOrder() {
    return keywords("lift", "quarantine")
        .next(name(NameKind.FINGERPRINT))
        .map(Order.LiftQuarantine::new);
  }

  private static Parser<UpstreamName> upstream() {
    return name(NameKind.UPSTREAM).map(UpstreamName::new);
  }

  private static Parser<Order> create(ObjectForm kind) {
    Parser<List<Assignment>> assignments =
        with(kind).optional(List.of()).next(given -> checked(missingOf(kind, given), given));
    return keyword(kind.code())
        .next(
            Parsers.sequence(
                name(NameKind.NEW),
                assignments,
                (name, given) -> new Order.Create(kind, name, given)));
  }

  private static Parser<Order> change(ObjectForm kind) {
    return keyword(kind.code())
        .next(
            Parsers.sequence(
                name(NameKind.of(kind)),
                with(kind),
                (name, given) -> new Order.Change(kind, name, given)));
  }

  private static Parser<Order> delete(ObjectForm kind) {
    return keyword(kind.code())
        .next(name(NameKind.of(kind)))
        .map(name -> new Order.Delete(kind, name));
  }

  private static Parser<List<Assignment>> with(ObjectForm kind) {
    List<Parser<Assignment>> fields = kind.fields().stream().map(Grammar::assignment).toList();
    return keyword("with")
        .next(Parsers.or(fields).sepBy1(symbol(",")))
        .next(given -> checked(repeatedOf(given), given));
  }

  private static Parser<Assignment> assignment(ObjectField field) {
    return Parsers.sequence(keyword(field.name()), symbol("="), value(field))
        .map(value -> new Assignment(field, value));
  }

  private static Parser<FieldValue> value(ObjectField field) {
    if (field.type() == FieldType.LIST) {
      Parser<String> text = Lexis.text("a text", FieldType.LIST::accepts);
      return text.sepBy(symbol(",")).between(symbol("["), symbol("]")).map(FieldValue::list);
    }
    if (field.choices().isEmpty()) {
      return Lexis.text(field.type().description(), field.type()::accepts).map(FieldValue::of);
    }
    List<Parser<String>> choices = field.choices().stream().map(Lexis::keyword).toList();
    return Parsers.<String>or(choices).map(FieldValue::of);
  }

  /** Fails here, as if the missing part were expected, when {@code fault} is present. */
  private static <T> Parser<T> checked(Optional<String> fault, T value) {
    return fault.isPresent() ? Parsers.expect(fault.get()) : Parsers.constant(value);
  }

  private static Optional<String> missingOf(ObjectForm kind, List<Assignment> given) {
    List<ObjectField> fields = given.stream().map(Assignment::field).toList();
    return kind.fields().stream()
        .filter(field -> field.isRequired() && !fields.contains(field))
        .map(field -> (given.isEmpty() ? "with " : ", ") + field.name() + " = ...")
        .findFirst();
  }

  private static Optional<String> repeatedOf(List<Assignment> given) {
    return given.stream()
        .map(assignment -> assignment.field().name())
        .filter(
            name -> given.stream().filter(other -> other.field().name().equals(name)).count() > 1)
        .map(name -> name + " only once")
        .findFirst();
  }

  private static Parser<Statement> block() {
    Parser<List<Order>> orders = configurationOrder().sepEndBy1(symbol(";"));
    Parser<List<Order>> named =
        orders.between(keyword("begin").followedBy(symbol(";").optional(null)), keyword("commit"));
    Parser<List<Order>> braced = orders.between(symbol("{"), symbol("}"));
    return Parsers.or(named, braced).map(OrderBlock::new);
  }
}
