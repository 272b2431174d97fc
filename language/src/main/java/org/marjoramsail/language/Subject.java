package org.marjoramsail.language;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/** What operators can ask about, with the columns of the answer. */
public enum Subject {
  /** The requests that daemons hold for callers. */
  REQUESTS(
      Visibility.ORGANISATION,
      Scope.FLEET,
      texts("request", "organisation", "service", "rule", "class", "state", "host"),
      numbers("attempt", "age-millis")),
  /** One request: where it is, how it got there, what it waits for. */
  REQUEST(
      Visibility.ORGANISATION,
      Scope.FLEET,
      texts("request", "organisation", "host", "fact", "detail")),
  /** The servers as the owners of their shards see them. */
  UPSTREAMS(
      Visibility.PLATFORM,
      Scope.FLEET,
      texts("upstream", "service", "shard", "role", "zone", "state", "host"),
      numbers("slots", "reserved", "reported-running", "cached-blocks")),
  /** The shards and who owns them. */
  SHARDS(
      Visibility.PLATFORM,
      Scope.FLEET,
      texts("shard", "service", "host"),
      numbers("upstreams", "running", "waiting")),
  /** What organisations use, by shard. */
  ORGANISATIONS(
      Visibility.ORGANISATION,
      Scope.FLEET,
      texts("organisation", "shard", "host"),
      numbers("running", "waiting", "requests-per-second", "tokens-per-second")),
  /** What organisations may use. */
  LIMITS(
      Visibility.ORGANISATION,
      Scope.LOCAL,
      texts("organisation"),
      numbers("weight", "concurrency", "requests-per-second", "tokens-per-second")),
  /** Which revision of the configuration is in force where. */
  REVISION(
      Visibility.PLATFORM,
      Scope.FLEET,
      texts("host", "source"),
      numbers("revision", "since-millis")),
  /** The daemons as each of them sees them. */
  MEMBERS(
      Visibility.PLATFORM,
      Scope.LOCAL,
      texts("member", "state", "zone", "region", "address", "host"),
      numbers("incarnation")),
  /** How many requests were refused, by reason. */
  REFUSALS(Visibility.PLATFORM, Scope.FLEET, texts("reason", "host"), numbers("count")),
  /** How many attempts were repeated, by reason. */
  RETRIES(Visibility.PLATFORM, Scope.FLEET, texts("reason", "host"), numbers("count")),
  /** Contents that crashed upstreams, as each daemon remembers them. */
  QUARANTINE(
      Visibility.PLATFORM,
      Scope.FLEET,
      texts("fingerprint", "state", "host"),
      numbers("crashes", "age-millis")),
  /** Prompt parts that may have crashed upstreams, as each daemon stores them. */
  PARTS(
      Visibility.PLATFORM,
      Scope.FLEET,
      texts("fingerprint", "part", "state", "host"),
      numbers("crashes", "age-millis")),
  /** Orders to engines. */
  ORDERS(
      Visibility.PLATFORM,
      Scope.LOCAL,
      texts("order", "kind", "upstream", "state", "reason", "ordered-by"),
      numbers("token")),
  /** The objects of the configuration in force. */
  CONFIGURATION(Visibility.PLATFORM, Scope.LOCAL, texts("kind", "name", "fields")),
  /** The accepted changes, newest first. */
  HISTORY(
      Visibility.PLATFORM,
      Scope.LOCAL,
      texts("ordered-by", "order", "change"),
      numbers("revision", "age-millis"));

  /** Who may ask. */
  public enum Visibility {
    /** Rows name their organisation; holders of a token of one organisation see only its rows. */
    ORGANISATION,
    /** Only holders of a token for the whole platform may ask. */
    PLATFORM
  }

  /** Who has to answer. */
  public enum Scope {
    /** Each daemon knows its own part. */
    FLEET,
    /** Any daemon knows all. */
    LOCAL
  }

  private final Visibility visibility;
  private final Scope scope;

  // An unmodifiable list of records; the checker cannot see that it is immutable.
  @SuppressWarnings("ImmutableEnumChecker")
  private final List<Column> columns;

  Subject(Visibility visibility, Scope scope, List<Column> texts) {
    this(visibility, scope, texts, List.of());
  }

  Subject(Visibility visibility, Scope scope, List<Column> texts, List<Column> numbers) {
    this.visibility = visibility;
    this.scope = scope;
    this.columns = Stream.concat(texts.stream(), numbers.stream()).toList();
  }

  /** Who may ask. */
  public Visibility visibility() {
    return visibility;
  }

  /** Who has to answer. */
  public Scope scope() {
    return scope;
  }

  /** The columns of the answer. */
  public List<Column> columns() {
    return columns;
  }

  /** The subject as operators write it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Whether it can be listed; the others are answers to a question of their own. */
  public boolean isListed() {
    return this != REQUEST;
  }

  /** Whether it can be confined to a service. */
  public boolean hasService() {
    return columnNames().contains("service");
  }

  /** The names that conditions may use. */
  public List<String> columnNames() {
    return columns.stream().map(Column::name).toList();
  }

  /** Where a column of that name stands in a row. */
  public Optional<Integer> position(String column) {
    int found = columnNames().indexOf(column);
    return found < 0 ? Optional.empty() : Optional.of(found);
  }

  private static List<Column> texts(String... names) {
    return Arrays.stream(names).map(Column::text).toList();
  }

  private static List<Column> numbers(String... names) {
    return Arrays.stream(names).map(Column::number).toList();
  }
}
