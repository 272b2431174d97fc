package org.marjoramsail.command.check;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.check.ConfigurationCheck;
import org.marjoramsail.core.configuration.check.EntryDifference;
import org.marjoramsail.core.configuration.check.EntryKey;
import org.marjoramsail.core.configuration.check.Finding;
import org.marjoramsail.core.configuration.check.FindingKind;
import org.marjoramsail.core.configuration.check.RoutingCheck;
import org.marjoramsail.daemon.configuration.ConfigurationFormat;
import org.marjoramsail.daemon.configuration.ConfigurationFormatException;
import org.marjoramsail.platform.listing.ConfigurationReview;

/** Formats of configurations, told apart by the names of their fields. */
enum ConfigurationForm {
  /** Services, upstreams, rules and organisations as daemons store them. */
  CONFIGURATION(Set.of("revision", "services", "models", "upstreams", "rules", "organisations")) {
    @Override
    List<Finding> findings(ConfigurationDocument document) {
      List<Finding> findings = new ArrayList<>();
      document
          .duplicateField()
          .ifPresent(field -> findings.add(duplicate(FindingKind.INVALID, field)));
      try {
        findings.addAll(ConfigurationCheck.findingsOf(decode(document)));
      } catch (ConfigurationFormatException failure) {
        findings.addAll(DecodingFindings.of(document.content(), failure));
      }
      return findings.stream().sorted().toList();
    }

    @Override
    List<EntryDifference> differences(ConfigurationDocument before, ConfigurationDocument after)
        throws UnreadableConfigurationException {
      return EntryDifference.between(decoded(before), decoded(after));
    }
  },

  /** Routes, services and organisations as operators write them into the platform's store. */
  PLATFORM(ConfigurationReview.documentFields()) {
    @Override
    List<Finding> findings(ConfigurationDocument document) {
      List<Finding> findings = new ArrayList<>();
      document
          .duplicateField()
          .ifPresent(field -> findings.add(duplicate(FindingKind.TOLERATED, field)));
      findings.addAll(ConfigurationReview.findings(document.content()));
      return findings.stream().sorted().toList();
    }

    @Override
    List<EntryDifference> differences(ConfigurationDocument before, ConfigurationDocument after) {
      return EntryDifference.between(
          ConfigurationReview.entries(before.content()),
          ConfigurationReview.entries(after.content()));
    }

    @Override
    Optional<Finding> outdated(
        ConfigurationDocument inForce, ConfigurationDocument checked, boolean differs) {
      return RoutingCheck.outdatedVersion(
          ConfigurationReview.version(checked.content()),
          ConfigurationReview.version(inForce.content()),
          differs);
    }
  },

  /** Settings of one daemon. */
  SETTINGS(
      Set.of(
          "host",
          "cluster",
          "listen",
          "platform",
          "peers",
          "limits",
          "placement",
          "logging",
          "administration",
          "tls",
          "forwarding")) {
    @Override
    List<Finding> findings(ConfigurationDocument document) {
      Path directory =
          Optional.ofNullable(Path.of(document.source()).toAbsolutePath().getParent())
              .orElse(Path.of(""));
      return SettingsFindings.of(document, directory);
    }

    @Override
    boolean isComparable() {
      return false;
    }

    @Override
    List<EntryDifference> differences(ConfigurationDocument before, ConfigurationDocument after) {
      return List.of();
    }
  };

  private static final EntryKey WHOLE = new EntryKey("configuration", EntryKey.ALL);

  // The sets are immutable, which the checker cannot detect.
  @SuppressWarnings("ImmutableEnumChecker")
  private final Set<String> fields;

  ConfigurationForm(Set<String> fields) {
    this.fields = fields;
  }

  /** Returns the format in lower case, as it appears to operators. */
  String code() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the format with the most fields of the document, if it has any. */
  static Optional<ConfigurationForm> of(ObjectNode content) {
    ConfigurationForm best = null;
    long most = 0;
    for (ConfigurationForm form : values()) {
      long count = form.fields.stream().filter(content::has).count();
      if (count > most) {
        best = form;
        most = count;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns all findings in their order. */
  abstract List<Finding> findings(ConfigurationDocument document);

  /** Returns what differs, ordered by kind and name. */
  abstract List<EntryDifference> differences(
      ConfigurationDocument before, ConfigurationDocument after)
      throws UnreadableConfigurationException;

  /** Returns whether two configurations of this format can be compared. */
  boolean isComparable() {
    return true;
  }

  /** Returns a finding if daemons would ignore the checked configuration. */
  Optional<Finding> outdated(
      ConfigurationDocument inForce, ConfigurationDocument checked, boolean differs) {
    return Optional.empty();
  }

  private static Configuration decode(ConfigurationDocument document)
      throws ConfigurationFormatException {
    return ConfigurationFormat.fromTree(document.content(), Configuration.class);
  }

  private static Configuration decoded(ConfigurationDocument document)
      throws UnreadableConfigurationException {
    try {
      return decode(document);
    } catch (ConfigurationFormatException failure) {
      throw new UnreadableConfigurationException(
          document.source(), "it cannot be compared: " + failure.getMessage());
    }
  }

  private static Finding duplicate(FindingKind kind, String description) {
    return new Finding(kind, WHOLE, "", description, "each field of an object once");
  }
}
