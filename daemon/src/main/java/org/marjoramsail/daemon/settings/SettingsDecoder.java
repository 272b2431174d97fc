package org.marjoramsail.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Decodes settings that are right without the schema.
 *
 * <p>A start costs the processor of a small host seconds in which callers wait. Loading the schema
 * and its validator is a fifth of that, and good settings need neither. The decoder accepts less
 * than the schema or as much, never more; what it does not accept, the schema judges.
 */
final class SettingsDecoder {

  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final int HIGHEST_PORT = 65_535;
  private static final long DAY_MILLIS = 86_400_000;

  private SettingsDecoder() {}

  /** The settings, if every part of them is plainly right. */
  static Optional<Settings> decode(JsonNode document) {
    try {
      return Optional.of(SettingsFields.read(document, SettingsDecoder::settings));
    } catch (UnclearSettingsException unclear) {
      return Optional.empty();
    }
  }

  private static Settings settings(SettingsFields fields) throws UnclearSettingsException {
    return new Settings(
        fields.object("host", SettingsDecoder::host),
        fields.object("cluster", SettingsDecoder::cluster),
        fields.object("listen", SettingsDecoder::listen),
        fields.object("platform", SettingsDecoder::remote),
        fields.objects("peers", SettingsDecoder::remote),
        fields.optionalObject("limits", SettingsDecoder::limits).orElse(LimitSettings.DEFAULT),
        fields
            .optionalObject("placement", SettingsDecoder::placement)
            .orElse(PlacementSettings.DEFAULT),
        fields.optionalObject("logging", SettingsDecoder::logging).orElse(LoggingSettings.DEFAULT),
        fields
            .optionalObject("administration", SettingsDecoder::administration)
            .orElse(AdministrationSettings.DEFAULT),
        fields.optionalObject("tls", SettingsDecoder::tls),
        fields.optionalObject("forwarding", SettingsDecoder::forwarding));
  }

  private static HostSettings host(SettingsFields fields) throws UnclearSettingsException {
    return new HostSettings(
        fields.name("name"), fields.name("availabilityZone"), fields.name("region"));
  }

  private static ClusterSettings cluster(SettingsFields fields) throws UnclearSettingsException {
    return new ClusterSettings(fields.name("name"), fields.text("key", 16, 256));
  }

  private static ListenSettings listen(SettingsFields fields) throws UnclearSettingsException {
    return new ListenSettings(
        fields.object("caller", SettingsDecoder::local),
        fields.object("operator", SettingsDecoder::local),
        fields.object("peer", SettingsDecoder::local));
  }

  private static Endpoint local(SettingsFields fields) throws UnclearSettingsException {
    return endpoint(fields, 0);
  }

  private static Endpoint remote(SettingsFields fields) throws UnclearSettingsException {
    return endpoint(fields, 1);
  }

  private static Endpoint endpoint(SettingsFields fields, int lowestPort)
      throws UnclearSettingsException {
    return new Endpoint(
        fields.text("address", 0, Integer.MAX_VALUE),
        (int) fields.whole("port", lowestPort, HIGHEST_PORT));
  }

  private static LimitSettings limits(SettingsFields fields) throws UnclearSettingsException {
    LimitSettings usual = LimitSettings.DEFAULT;
    return new LimitSettings(
        fields.whole("bodyBytes", usual.bodyBytes(), 1 << 10, 1 << 26),
        (int) fields.whole("headerBytes", usual.headerBytes(), 1 << 10, 1 << 20),
        (int) fields.whole("connections", usual.connections(), 1, 100_000),
        fields.whole("callerIdleMillis", usual.callerIdleMillis(), 1_000, 3_600_000),
        (int) fields.whole("threads", usual.threads(), 1, 64),
        (int) fields.whole("queueLength", usual.queueLength(), 1, 100_000),
        fields.whole("leaveMillis", usual.leaveMillis(), 0, 300_000),
        fields.whole("stopMillis", usual.stopMillis(), 1_000, DAY_MILLIS));
  }

  private static PlacementSettings placement(SettingsFields fields)
      throws UnclearSettingsException {
    return new PlacementSettings(
        fields.optionalName("policy").orElse(PlacementSettings.DEFAULT.policy()));
  }

  private static LoggingSettings logging(SettingsFields fields) throws UnclearSettingsException {
    LoggingSettings usual = LoggingSettings.DEFAULT;
    return new LoggingSettings(
        fields.choice("level", usual.level(), LogLevel::ofCode),
        fields.choice("format", usual.format(), LogFormat::ofCode));
  }

  private static AdministrationSettings administration(SettingsFields fields)
      throws UnclearSettingsException {
    AdministrationSettings usual = AdministrationSettings.DEFAULT;
    return new AdministrationSettings(
        fields.objects("tokens", SettingsDecoder::token),
        (int) fields.whole("requestsPerSecond", usual.requestsPerSecond(), 1, 10_000),
        (int) fields.whole("bodyBytes", usual.bodyBytes(), 1 << 10, 1 << 20));
  }

  private static OperatorToken token(SettingsFields fields) throws UnclearSettingsException {
    return new OperatorToken(
        fields.name("name"),
        fields.text("sha256", SHA256),
        OperatorRole.ofCode(fields.name("role")).orElseThrow(UnclearSettingsException::new),
        fields.optionalName("organisation"));
  }

  private static TlsSettings tls(SettingsFields fields) throws UnclearSettingsException {
    return new TlsSettings(
        fields.optionalObject("caller", SettingsDecoder::keyFiles),
        fields.optionalObject("operator", SettingsDecoder::keyFiles),
        fields.whole("reloadMillis", 0, DAY_MILLIS));
  }

  private static TlsSettings.KeyFiles keyFiles(SettingsFields fields)
      throws UnclearSettingsException {
    return new TlsSettings.KeyFiles(
        fields.text("certificate", 1, Integer.MAX_VALUE), fields.text("key", 1, Integer.MAX_VALUE));
  }

  private static ForwardingSettings forwarding(SettingsFields fields)
      throws UnclearSettingsException {
    return new ForwardingSettings(
        fields.object("ready", SettingsDecoder::local),
        fields.optionalObject("relay", SettingsDecoder::local),
        fields.object("regions", SettingsDecoder::regions),
        PlatformBound.RETRY_RATIO.read(fields),
        PlatformBound.RETRY_SLACK.read(fields),
        PlatformBound.GRACE_SECONDS.read(fields),
        PlatformBound.LEASE_MILLIS.read(fields),
        PlatformBound.RECOVERY_MILLIS.read(fields),
        PlatformBound.CONFIGURATION_MILLIS.read(fields),
        PlatformBound.DRAIN_MILLIS.read(fields),
        PlatformBound.HEARTBEAT_MILLIS.read(fields),
        PlatformBound.PROCESSOR_SHARE.read(fields),
        PlatformBound.PROCESSOR_SPEED.read(fields),
        fields.flag("fenced"),
        fields.optionalFlag("warmUp").orElse(false));
  }

  private static Map<String, String> regions(SettingsFields fields)
      throws UnclearSettingsException {
    Map<String, String> regions = new HashMap<>();
    List<String> zones = fields.names();
    for (String zone : zones) {
      regions.put(zone, fields.name(zone));
    }
    return regions;
  }
}
