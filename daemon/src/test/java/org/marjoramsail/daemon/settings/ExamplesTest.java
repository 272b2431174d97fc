package org.marjoramsail.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ConfigurationChange;
import org.marjoramsail.core.configuration.ConfigurationEditor;
import org.marjoramsail.core.configuration.ConfigurationOperation;
import org.marjoramsail.core.configuration.EditResult;
import org.marjoramsail.core.configuration.OrderId;
import org.marjoramsail.core.configuration.RuleDefinition;
import org.marjoramsail.core.configuration.ServiceDefinition;
import org.marjoramsail.core.model.UpstreamRole;

class ExamplesTest {

  private static final Path EXAMPLES = Path.of("..", "examples");

  private final JsonMapper mapper =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .build();

  @ParameterizedTest
  @CsvSource({"cabildo-abierto, 3", "rosario, 4"})
  void theHostsOfAnExampleDifferAndCoverTheirZones(String example, int zones) throws Exception {
    List<Settings> hosts = new ArrayList<>();
    for (Path file : hostFiles(example)) {
      hosts.add(new SettingsReader().read(file));
    }

    assertThat(hosts).hasSize(7);
    assertThat(hosts).extracting(host -> host.host().name()).doesNotHaveDuplicates();
    assertThat(hosts).extracting(host -> host.listen().peer()).doesNotHaveDuplicates();
    assertThat(hosts.stream().map(host -> host.host().availabilityZone()).distinct())
        .hasSize(zones);
    List<Endpoint> listening = hosts.stream().map(host -> host.listen().peer()).toList();
    assertThat(hosts).allSatisfy(host -> assertThat(listening).containsAll(host.peers()));
  }

  @ParameterizedTest
  @CsvSource({
    "cabildo-abierto, asistente-concejo, 4, 6, plataforma-votacion, 3",
    "rosario, lector, 2, 4, ventanilla, 4"
  })
  void theConfigurationOfAnExampleHasItsServers(
      String example, String model, int prefill, int decode, String plain, int servers)
      throws Exception {
    Configuration configuration = configuration(example);

    assertThat(count(configuration, model, UpstreamRole.PREFILL)).isEqualTo(prefill);
    assertThat(count(configuration, model, UpstreamRole.DECODE)).isEqualTo(decode);
    assertThat(count(configuration, plain, UpstreamRole.PLAIN)).isEqualTo(servers);
    assertThat(configuration.upstreams())
        .extracting(upstream -> upstream.address() + ":" + upstream.port())
        .doesNotHaveDuplicates();
    List<String> services = configuration.services().stream().map(ServiceDefinition::name).toList();
    assertThat(services).containsExactlyInAnyOrder(model, plain);
    assertThat(configuration.rules())
        .isNotEmpty()
        .allSatisfy(rule -> assertThat(services).contains(rule.service()));
    assertThat(ConfigurationEditor.apply(configuration, putting(configuration.rules().get(0))))
        .isInstanceOf(EditResult.Edited.class);
  }

  /** A change without effect; the editor checks the whole configuration with it. */
  private static ConfigurationChange putting(RuleDefinition rule) {
    return new ConfigurationChange(
        new OrderId("check"),
        "test",
        "check",
        Optional.empty(),
        List.of(new ConfigurationOperation.Put(rule)));
  }

  private static long count(Configuration configuration, String service, UpstreamRole role) {
    return configuration.upstreamsOf(service).stream()
        .filter(upstream -> upstream.role() == role)
        .count();
  }

  private Configuration configuration(String example) throws IOException {
    Path file = EXAMPLES.resolve(example).resolve("configuration.json");
    return mapper.readValue(Files.readString(file), Configuration.class);
  }

  private static List<Path> hostFiles(String example) throws IOException {
    try (Stream<Path> files = Files.list(EXAMPLES.resolve(example))) {
      return files
          .filter(file -> file.getFileName().toString().startsWith("entry-"))
          .sorted()
          .collect(Collectors.toList());
    }
  }
}
