package org.marjoramsail.daemon.forward;

import java.util.Optional;
import org.marjoramsail.core.routing.Route;
import org.marjoramsail.core.stream.StreamOrigin;

/** Software versions in the list of upstreams. */
public interface ListedVersions {

  /**
   * Returns where all streams of a route have begun that their callers may still resume.
   *
   * @return empty unless the route had one service all the time, and the service one version
   */
  Optional<StreamOrigin> onlyOrigin(Route route);

  /** Returns the time since the list last responded, in milliseconds. */
  long ageMillis();

  /** Returns the listed versions of a service with the number of their upstreams, for logs. */
  String describe(String service);
}
