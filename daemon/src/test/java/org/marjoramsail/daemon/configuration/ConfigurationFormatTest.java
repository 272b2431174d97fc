package org.marjoramsail.daemon.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ConfigurationChange;
import org.marjoramsail.core.configuration.ConfigurationOperation;
import org.marjoramsail.core.configuration.ObjectKey;
import org.marjoramsail.core.configuration.ObjectKind;
import org.marjoramsail.core.configuration.OrderId;

final class ConfigurationFormatTest {

  @Test
  void configurationsAndChangesComeBackAsTheyWere() throws Exception {
    Configuration configuration = Samples.configuration(4, 2);
    ConfigurationChange change =
        new ConfigurationChange(
            new OrderId("o1"),
            "ana",
            "all steps",
            Optional.of(3L),
            List.of(
                new ConfigurationOperation.Put(configuration.upstreams().get(1)),
                new ConfigurationOperation.Put(configuration.rules().get(0)),
                new ConfigurationOperation.Delete(new ObjectKey(ObjectKind.MODEL, "lector-8b")),
                new ConfigurationOperation.Restore(configuration)));

    String text = ConfigurationFormat.toText(change);

    assertThat(ConfigurationFormat.fromText(text, ConfigurationChange.class)).isEqualTo(change);
    assertThat(
            ConfigurationFormat.fromTree(
                ConfigurationFormat.toTree(configuration), Configuration.class))
        .isEqualTo(configuration);
    assertThat(ConfigurationFormat.toTree(configuration).fieldNames())
        .toIterable()
        .containsExactly("revision", "services", "models", "upstreams", "rules", "organisations");
  }

  @Test
  void aMisspeltFieldIsRefusedWithItsPlaceAndWhatIsAllowed() {
    ObjectNode tree = ConfigurationFormat.toTree(Samples.configuration(1, 0));
    ((ObjectNode) tree.get("upstreams").get(0)).put("drainned", true);

    assertThatThrownBy(() -> ConfigurationFormat.fromTree(tree, Configuration.class))
        .isInstanceOf(ConfigurationFormatException.class)
        .hasMessageContaining("upstreams.[0].drainned")
        .hasMessageContaining("availabilityZone, drained, fenced");
  }

  @Test
  void aMissingFieldAndAWrongWordAreRefused() {
    ObjectNode missing = ConfigurationFormat.toTree(Samples.configuration(1, 0));
    ((ObjectNode) missing.get("upstreams").get(0)).remove("port");
    ObjectNode wrong = ConfigurationFormat.toTree(Samples.configuration(1, 0));
    ((ObjectNode) wrong.get("upstreams").get(0)).put("role", "PREFIL");

    assertThatThrownBy(() -> ConfigurationFormat.fromTree(missing, Configuration.class))
        .hasMessageContaining("port");
    assertThatThrownBy(() -> ConfigurationFormat.fromTree(wrong, Configuration.class))
        .hasMessageContaining("\"PREFIL\" is not allowed; allowed: PREFILL, DECODE, PLAIN");
  }
}
