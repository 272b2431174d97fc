package org.marjoramsail.command.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.language.NameKind;
import org.marjoramsail.language.NameSource;

/** The names that a daemon knows, asked for when completion needs them and kept a short time. */
public final class ServerNames implements NameSource {

  private static final long KEPT_MILLIS = 5_000;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private record Known(long atMillis, List<String> names) {}

  private final OperatorClient client;
  private final Clock clock;
  private final Map<NameKind, Known> known = new EnumMap<>(NameKind.class);

  /** Creates an instance with whom to ask. */
  public ServerNames(OperatorClient client, Clock clock) {
    this.client = client;
    this.clock = clock;
  }

  @Override
  public List<String> namesOf(NameKind kind) {
    Known kept = known.get(kind);
    if (kept == null || clock.millis() - kept.atMillis() > KEPT_MILLIS) {
      kept = new Known(clock.millis(), ask(kind));
      known.put(kind, kept);
    }
    return kept.names();
  }

  /** Completion goes without names when the daemon does not give them. */
  private List<String> ask(NameKind kind) {
    return switch (kind) {
      case SERVICE, MODEL, UPSTREAM, RULE, ORGANISATION ->
          column("show configuration where kind = " + kind.name().toLowerCase(Locale.ROOT), "name");
      case HOST -> column("show members", "member");
      case REQUEST -> column("show requests", "request");
      case FINGERPRINT ->
          Stream.of("show quarantine", "show parts")
              .flatMap(question -> column(question, "fingerprint").stream())
              .toList();
      case VERSION, NEW -> List.of();
    };
  }

  private List<String> column(String question, String column) {
    try {
      OperatorReply reply = client.send(question, "completion", Optional.empty(), false);
      List<String> names = new ArrayList<>();
      for (JsonNode row : MAPPER.readTree(reply.body()).path("rows")) {
        names.add(row.path(column).asText());
      }
      return names;
    } catch (DaemonUnreachableException | JsonProcessingException unknown) {
      return List.of();
    }
  }
}
