package org.marjoramsail.daemon.forward;

import java.util.Optional;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.UpstreamFailure;

/** Decides whether an upstream takes a request from this host now. */
final class UpstreamRejection {

  private UpstreamRejection() {}

  /**
   * Returns why an upstream takes no request from this host now; empty if it does. The owner of the
   * shard may select an upstream before it receives the feedback that this host already has, or
   * while its list still has an earlier incarnation of another software version.
   */
  static Optional<UpstreamFailure> of(
      ForwardDependencies dependencies,
      UpstreamName upstream,
      Optional<SoftwareVersion> requiredVersion) {
    Optional<UpstreamDefinition> listed =
        dependencies.upstreams().apply(upstream).filter(found -> !found.drained());
    if (listed.isEmpty()) {
      return Optional.of(UpstreamFailure.CONNECT_FAILED);
    }
    return listed
            .filter(dependencies.feedback()::isAccepting)
            .filter(found -> found.mayContinue(requiredVersion))
            .isPresent()
        ? Optional.empty()
        : Optional.of(UpstreamFailure.NOT_ACCEPTING);
  }
}
