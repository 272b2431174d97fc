package org.marjoramsail.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTest {

  private static final String GOOD =
      """
      {
        "host": {"name": "entry-1", "availabilityZone": "santiago-a", "region": "santiago"},
        "cluster": {"name": "cabildo", "key": "0123456789abcdef"},
        "listen": {
          "caller": {"address": "127.0.0.1", "port": 8080},
          "operator": {"address": "127.0.0.1", "port": 8081},
          "peer": {"address": "127.0.0.1", "port": 8082}
        },
        "platform": {"address": "127.0.0.1", "port": 9000},
        "peers": [{"address": "10.0.0.2", "port": 8082}],
        "limits": {"threads": 3},
        "logging": {"level": "warn", "format": "json"},
        "administration": {"tokens": [
          {"name": "night", "role": "viewer", "sha256": "HASH"}]}
      }
      """
          .replace("HASH", "ab".repeat(32));

  private final ObjectMapper mapper = new ObjectMapper();
  private final SettingsReader reader = new SettingsReader();

  @TempDir private Path directory;

  @Test
  void aGoodFileGivesItsValuesAndTheDefaultsOfTheRest() throws Exception {
    Settings settings = reader.read("good", GOOD, directory);

    assertThat(settings.host()).isEqualTo(new HostSettings("entry-1", "santiago-a", "santiago"));
    assertThat(settings.peers()).containsExactly(new Endpoint("10.0.0.2", 8082));
    assertThat(settings.limits().threads()).isEqualTo(3);
    assertThat(settings.limits().bodyBytes()).isEqualTo(LimitSettings.DEFAULT.bodyBytes());
    assertThat(settings.logging()).isEqualTo(new LoggingSettings(LogLevel.WARN, LogFormat.JSON));
    assertThat(settings.administration().tokens())
        .containsExactly(
            new OperatorToken("night", "ab".repeat(32), OperatorRole.VIEWER, Optional.empty()));
    assertThat(settings.placement()).isEqualTo(PlacementSettings.DEFAULT);
    assertThat(settings.tls()).isEmpty();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "/host/name | 7 | NOT_ALLOWED | /host/name | a name of",
        "/host/name | \"Entry 1\" | NOT_ALLOWED | /host/name | lower-case",
        "/host/zone | \"a\" | UNKNOWN_FIELD | /host/zone | name, availabilityZone, region",
        "/cluster/key | \"short\" | NOT_ALLOWED | /cluster/key | 16 to 256",
        "/cluster/key | | MISSING_FIELD | /cluster/key | 16 to 256",
        "/platform | | MISSING_FIELD | /platform | address and port",
        "/platform/port | 0 | NOT_ALLOWED | /platform/port | from 1 to 65535",
        "/platform/address | \"store.example\" | NOT_ALLOWED | /platform/address | IP number",
        "/listen/caller/port | 70000 | NOT_ALLOWED | /listen/caller/port | 0 for one chosen",
        "/listen/caller/port | 80.5 | NOT_ALLOWED | /listen/caller/port | 0 for one chosen",
        "/listen/peer/port | 8080 | DUPLICATE | /listen/peer/port | a port of its own",
        "/peers | {} | NOT_ALLOWED | /peers | a list",
        "/peers | [{\"address\":\"::1\",\"port\":1},{\"address\":\"::1\",\"port\":1}]"
            + " | DUPLICATE | /peers/1/address | different address or port",
        "/limits/treads | 2 | UNKNOWN_FIELD | /limits/treads | did you mean threads?",
        "/limits/threads | 0 | NOT_ALLOWED | /limits/threads | from 1 to 64",
        "/logging/level | \"warm\" | NOT_ALLOWED | /logging/level | did you mean warn?",
        "/placement | {\"policy\":\"round-robbin\"} | NOT_ALLOWED | /placement/policy"
            + " | did you mean round-robin?",
        "/administration/tokens/0/role | \"root\" | NOT_ALLOWED"
            + " | /administration/tokens/0/role | viewer, operator or administrator",
        "/administration/tokens/0/sha256 | \"12\" | NOT_ALLOWED"
            + " | /administration/tokens/0/sha256 | 64 hexadecimal digits",
        "/tls | {\"reloadMillis\":0,\"caller\":{\"certificate\":\"no.pem\",\"key\":\"no.pem\"}}"
            + " | NOT_ALLOWED | /tls/caller/certificate | readable PEM file",
      })
  void eachBadValueIsNamedWithItsPathAndWhatIsAllowed(
      String pointer, String value, SettingsProblem.Kind kind, String path, String allowed)
      throws Exception {
    SettingsException failure = failureOf(changed(pointer, Optional.ofNullable(value)));

    assertThat(failure.problems())
        .anySatisfy(
            problem -> {
              assertThat(problem.kind()).isEqualTo(kind);
              assertThat(problem.path()).isEqualTo(path);
              assertThat(problem.message()).contains(allowed);
            });
    assertThat(failure.problems())
        .extracting(SettingsProblem::path)
        .allMatch(found -> found.startsWith(pointer));
  }

  @Test
  void allFaultsAreFoundAtOnce() throws Exception {
    ObjectNode document = (ObjectNode) mapper.readTree(GOOD);
    document.remove("cluster");
    document.put("loging", 1);
    ((ObjectNode) document.at("/listen/caller")).put("address", "localhost").put("port", -1);

    SettingsException failure = failureOf(document.toString());

    assertThat(failure.problems())
        .extracting(SettingsProblem::path)
        .containsExactlyInAnyOrder(
            "/cluster", "/loging", "/listen/caller/address", "/listen/caller/port");
    assertThat(failure).hasMessageContaining("did you mean logging?");
  }

  @Test
  void textThatIsNotJsonIsReportedWithItsPlace() {
    SettingsException failure = failureOf("{\n  \"host\": }");

    assertThat(failure.problems())
        .extracting(SettingsProblem::kind)
        .isEqualTo(List.of(SettingsProblem.Kind.MALFORMED));
    assertThat(failure).hasMessageContaining("line 2, column");
  }

  @Test
  void aFieldThatStandsTwiceIsNotTakenSilently() {
    SettingsException failure = failureOf("{\"host\": {}, \"host\": {}}");

    assertThat(failure).hasMessageContaining("Duplicate field 'host'");
  }

  @Test
  void aMissingFileIsASettingsFault() {
    SettingsException failure =
        catchThrowableOfType(
            SettingsException.class, () -> reader.read(directory.resolve("none.json")));

    assertThat(failure.problems())
        .extracting(SettingsProblem::kind)
        .containsExactly(SettingsProblem.Kind.UNREADABLE);
  }

  @Test
  void theClusterKeyStaysOutOfTexts() throws Exception {
    assertThat(reader.read("good", GOOD, directory).toString()).doesNotContain("0123456789abcdef");
  }

  private String changed(String pointer, Optional<String> value) throws Exception {
    ObjectNode document = (ObjectNode) mapper.readTree(GOOD);
    int cut = pointer.lastIndexOf('/');
    String parentPointer = pointer.substring(0, cut);
    ObjectNode parent =
        (ObjectNode) (parentPointer.isEmpty() ? document : document.at(parentPointer));
    String field = pointer.substring(cut + 1);
    if (value.isPresent()) {
      parent.set(field, mapper.readTree(value.get()));
    } else {
      parent.remove(field);
    }
    return document.toString();
  }

  private SettingsException failureOf(String text) {
    return catchThrowableOfType(
        SettingsException.class, () -> reader.read("test", text, directory));
  }
}
