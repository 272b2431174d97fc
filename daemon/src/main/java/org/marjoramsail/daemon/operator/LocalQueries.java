package org.marjoramsail.daemon.operator;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Stream;
import org.marjoramsail.core.configuration.ConfigurationObject;
import org.marjoramsail.core.configuration.ObjectKind;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.ShardView;
import org.marjoramsail.language.Condition;
import org.marjoramsail.language.Subject;

/** Answers questions from what this daemon knows. */
public final class LocalQueries {

  private final LocalState state;
  private final Map<Subject, Function<OperatorQueryMessage, Stream<List<String>>>> sources =
      new EnumMap<>(Subject.class);

  /** Creates an instance with what this daemon knows. */
  public LocalQueries(LocalState state) {
    this.state = state;
    sources.put(Subject.REQUESTS, question -> requests());
    sources.put(Subject.REQUEST, this::request);
    sources.put(Subject.UPSTREAMS, question -> upstreams());
    sources.put(Subject.SHARDS, question -> shards());
    sources.put(Subject.ORGANISATIONS, question -> organisations());
    sources.put(Subject.LIMITS, question -> limits());
    sources.put(Subject.REVISION, question -> revision());
    sources.put(Subject.MEMBERS, question -> members());
    sources.put(Subject.REFUSALS, question -> refusals());
    sources.put(Subject.RETRIES, question -> retries());
    sources.put(Subject.QUARANTINE, question -> quarantine());
    sources.put(Subject.PARTS, question -> parts());
    sources.put(Subject.ORDERS, question -> orders());
    sources.put(Subject.CONFIGURATION, question -> configuration());
    sources.put(Subject.HISTORY, question -> history());
  }

  /** The rows of this daemon that the question asks for and that may be given. */
  public OperatorResultMessage answer(OperatorQueryMessage question) {
    List<List<String>> rows =
        sources
            .get(question.subject())
            .apply(question)
            .filter(row -> isWanted(question, row))
            .limit(question.mostRows() + 1L)
            .toList();
    boolean isTruncated = rows.size() > question.mostRows();
    return new OperatorResultMessage(
        question.number(), isTruncated ? rows.subList(0, question.mostRows()) : rows, isTruncated);
  }

  private static boolean isWanted(OperatorQueryMessage question, List<String> row) {
    Subject subject = question.subject();
    boolean isVisible =
        question.organisation().stream()
            .allMatch(organisation -> cell(subject, row, "organisation").equals(organisation));
    boolean isOfService =
        !subject.hasService()
            || question.name().stream()
                .allMatch(service -> cell(subject, row, "service").equals(service));
    return isVisible
        && isOfService
        && question.conditions().stream().allMatch(condition -> matches(subject, row, condition));
  }

  private static boolean matches(Subject subject, List<String> row, Condition condition) {
    return condition.matches(cell(subject, row, condition.column()));
  }

  /**
   * The text of a column; empty where the subject has none, so that nothing is given by mistake.
   */
  private static String cell(Subject subject, List<String> row, String column) {
    return subject.position(column).map(row::get).orElse("");
  }

  private String host() {
    return state.membership().self().id().host();
  }

  private Stream<List<String>> requests() {
    return state.requests().stream()
        .map(
            view ->
                row(
                    view.request(),
                    view.organisation(),
                    view.service(),
                    view.rule(),
                    code(view.serviceClass()),
                    code(view.state()),
                    host(),
                    view.attempt(),
                    view.ageMillis()));
  }

  private Stream<List<String>> request(OperatorQueryMessage question) {
    String wanted = question.name().orElse("");
    List<List<String>> rows = new ArrayList<>();
    state.request(new RequestId(wanted)).ifPresent(view -> rows.addAll(stepsOf(view)));
    for (ShardView shard : state.shards()) {
      shard.waiting().stream()
          .filter(view -> view.request().value().equals(wanted))
          .forEach(view -> rows.add(waiting(shard, view)));
      shard.running().stream()
          .filter(view -> view.request().value().equals(wanted))
          .forEach(view -> rows.add(running(shard, view)));
    }
    return rows.stream();
  }

  private List<List<String>> stepsOf(RequestView view) {
    List<List<String>> rows = new ArrayList<>();
    String summary = view.service() + ", rule " + view.rule() + ", " + code(view.serviceClass());
    rows.add(row(view.request(), view.organisation(), host(), code(view.state()), summary));
    for (RequestView.Step step : view.steps()) {
      String fact = "after " + step.ageMillis() + " ms";
      String detail = (step.event() + " " + step.detail()).strip();
      rows.add(row(view.request(), view.organisation(), host(), fact, detail));
    }
    return rows;
  }

  private List<String> waiting(ShardView shard, ShardView.WaitingView view) {
    String detail =
        "place "
            + view.place()
            + " in "
            + shard.shard()
            + ", misses "
            + view.missing()
            + ", rule "
            + view.rule()
            + ", waited "
            + view.waitedMillis()
            + " ms, about "
            + view.estimatedWaitMillis()
            + " ms to go";
    return row(view.request(), view.organisation(), host(), "waits", detail);
  }

  private List<String> running(ShardView shard, ShardView.RunningView view) {
    String prefill = view.prefill().map(name -> ", prefill on " + name).orElse("");
    String detail =
        "attempt "
            + view.attempt()
            + " in "
            + shard.shard()
            + ", "
            + code(view.phase())
            + " on "
            + view.target()
            + prefill
            + " for "
            + view.runningMillis()
            + " ms";
    return row(view.request(), view.organisation(), host(), "runs", detail);
  }

  private Stream<List<String>> upstreams() {
    return state.shards().stream()
        .flatMap(
            shard ->
                shard.upstreams().stream()
                    .map(
                        view ->
                            row(
                                view.name(),
                                shard.shard().service(),
                                shard.shard(),
                                code(view.role()),
                                view.availabilityZone(),
                                view.state(),
                                host(),
                                view.slots(),
                                view.reserved(),
                                view.reportedRunning(),
                                view.cachedBlocks())));
  }

  private Stream<List<String>> shards() {
    return state.shards().stream()
        .map(
            shard ->
                row(
                    shard.shard(),
                    shard.shard().service(),
                    host(),
                    shard.upstreams().size(),
                    shard.running().size(),
                    shard.waiting().size()));
  }

  private Stream<List<String>> organisations() {
    return state.shards().stream()
        .flatMap(
            shard ->
                shard.organisations().stream()
                    .map(
                        view ->
                            row(
                                view.organisation(),
                                shard.shard(),
                                host(),
                                view.running(),
                                view.waiting(),
                                view.requestsPerSecond(),
                                view.tokensPerSecond())));
  }

  private Stream<List<String>> limits() {
    return state.configuration().organisations().stream()
        .map(
            organisation ->
                row(
                    organisation.name(),
                    organisation.weight(),
                    organisation.maximumConcurrency(),
                    organisation.requestsPerSecond(),
                    organisation.tokensPerSecond()));
  }

  private Stream<List<String>> revision() {
    RevisionView view = state.revision();
    return Stream.of(row(host(), view.source(), view.revision(), view.sinceMillis()));
  }

  private Stream<List<String>> members() {
    return state.membership().members().stream()
        .map(
            member ->
                row(
                    member.id().host(),
                    code(member.state()),
                    member.availabilityZone(),
                    member.region(),
                    member.address() + ":" + member.port(),
                    host(),
                    member.id().incarnation()));
  }

  private Stream<List<String>> refusals() {
    return state.refusals().entrySet().stream()
        .map(entry -> row(entry.getKey().code(), host(), entry.getValue()));
  }

  private Stream<List<String>> retries() {
    return state.retries().entrySet().stream()
        .map(entry -> row(entry.getKey().code(), host(), entry.getValue()));
  }

  private Stream<List<String>> quarantine() {
    return state.quarantine().stream()
        .map(
            view ->
                row(view.fingerprint(), view.state(), host(), view.crashes(), view.ageMillis()));
  }

  private Stream<List<String>> parts() {
    return state.parts().stream()
        .map(
            view ->
                row(
                    view.fingerprint(),
                    view.part(),
                    view.state(),
                    host(),
                    view.crashes(),
                    view.ageMillis()));
  }

  private Stream<List<String>> orders() {
    return state.engineOrders().stream()
        .map(
            view ->
                row(
                    view.order(),
                    view.kind(),
                    view.upstream().map(UpstreamName::value).orElse(""),
                    view.state(),
                    view.reason(),
                    view.orderedBy(),
                    view.token()));
  }

  private Stream<List<String>> configuration() {
    return Stream.of(ObjectKind.values())
        .flatMap(kind -> kind.in(state.configuration()).stream().map(LocalQueries::configured));
  }

  private static List<String> configured(ConfigurationObject object) {
    return row(object.key().kind().code(), object.key().name(), ObjectFields.text(object));
  }

  private Stream<List<String>> history() {
    List<List<String>> rows = new ArrayList<>();
    long now = state.wallClockMillis();
    state
        .history()
        .forEach(
            entry ->
                rows.add(
                    0,
                    row(
                        entry.author(),
                        entry.order(),
                        entry.summary(),
                        entry.revision(),
                        now - entry.acceptedAtMillis())));
    return rows.stream();
  }

  private static List<String> row(Object... cells) {
    return Stream.of(cells).map(String::valueOf).toList();
  }

  private static String code(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
