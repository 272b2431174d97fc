package org.marjoramsail.daemon.configuration;

import io.vertx.core.Future;
import java.util.Optional;
import org.marjoramsail.core.configuration.ChangeResult;
import org.marjoramsail.core.configuration.ConfigurationChange;
import org.marjoramsail.core.configuration.ConfigurationRoot;
import org.marjoramsail.core.configuration.OrderId;

/** Takes operators' changes of the configuration. */
public interface ConfigurationChanges {

  /** Accepts a change, or says why not; never fails. */
  Future<ChangeResult> accept(ConfigurationChange change);

  /** Says what a change would do on the newest revision, and does nothing. */
  Future<ChangeResult> validate(ConfigurationChange change);

  /** Makes a new revision with all objects of an earlier one. */
  Future<ChangeResult> rollBack(
      OrderId order, String author, String summary, Optional<Long> base, long revision);

  /** An earlier or the newest revision; empty when it is not kept. */
  Future<Optional<ConfigurationRoot>> revision(long revision);

  /** The newest root, straight from the store; fails when the store does not answer. */
  Future<ConfigurationRoot> newest();
}
