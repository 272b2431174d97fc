package org.marjoramsail.daemon.settings;

import java.util.List;
import java.util.Optional;

/**
 * All that a daemon is told before it starts.
 *
 * @param host which host it runs on
 * @param cluster what it shares with the other daemons
 * @param listen where it listens
 * @param platform the platform's object API
 * @param peers daemons to ask first for the others; those of the platform's host list come to them
 * @param limits what it takes on at most
 * @param placement how it places requests
 * @param logging what it logs
 * @param administration who may administer it
 * @param tls encryption; absent for plain text everywhere
 * @param forwarding how requests are forwarded as they are; absent for the completions interface
 */
public record Settings(
    HostSettings host,
    ClusterSettings cluster,
    ListenSettings listen,
    Endpoint platform,
    List<Endpoint> peers,
    LimitSettings limits,
    PlacementSettings placement,
    LoggingSettings logging,
    AdministrationSettings administration,
    Optional<TlsSettings> tls,
    Optional<ForwardingSettings> forwarding) {

  /** Copies the list, so that the value cannot change. */
  public Settings {
    peers = List.copyOf(peers);
  }

  /** Settings with the default of everything that has one. */
  public static Settings of(
      HostSettings host, ClusterSettings cluster, ListenSettings listen, Endpoint platform) {
    return new Settings(
        host,
        cluster,
        listen,
        platform,
        List.of(),
        LimitSettings.DEFAULT,
        PlacementSettings.DEFAULT,
        LoggingSettings.DEFAULT,
        AdministrationSettings.DEFAULT,
        Optional.empty(),
        Optional.empty());
  }

  /** The same settings with other addresses to listen on. */
  public Settings withListen(ListenSettings others) {
    return new Settings(
        host,
        cluster,
        others,
        platform,
        peers,
        limits,
        placement,
        logging,
        administration,
        tls,
        forwarding);
  }

  /** The same settings with other seeds. */
  public Settings withPeers(List<Endpoint> others) {
    return new Settings(
        host,
        cluster,
        listen,
        platform,
        others,
        limits,
        placement,
        logging,
        administration,
        tls,
        forwarding);
  }

  /** The same settings with other limits. */
  public Settings withLimits(LimitSettings others) {
    return new Settings(
        host,
        cluster,
        listen,
        platform,
        peers,
        others,
        placement,
        logging,
        administration,
        tls,
        forwarding);
  }

  /** The same settings with another placement. */
  public Settings withPlacement(PlacementSettings other) {
    return new Settings(
        host,
        cluster,
        listen,
        platform,
        peers,
        limits,
        other,
        logging,
        administration,
        tls,
        forwarding);
  }

  /** The same settings with another logging. */
  public Settings withLogging(LoggingSettings other) {
    return new Settings(
        host,
        cluster,
        listen,
        platform,
        peers,
        limits,
        placement,
        other,
        administration,
        tls,
        forwarding);
  }

  /** The same settings with other operators. */
  public Settings withAdministration(AdministrationSettings other) {
    return new Settings(
        host, cluster, listen, platform, peers, limits, placement, logging, other, tls, forwarding);
  }

  /** The same settings with another way of forwarding. */
  public Settings withForwarding(Optional<ForwardingSettings> other) {
    return new Settings(
        host,
        cluster,
        listen,
        platform,
        peers,
        limits,
        placement,
        logging,
        administration,
        tls,
        other);
  }

  /** The same settings with other encryption. */
  public Settings withTls(Optional<TlsSettings> other) {
    return new Settings(
        host,
        cluster,
        listen,
        platform,
        peers,
        limits,
        placement,
        logging,
        administration,
        other,
        forwarding);
  }
}
