package org.marjoramsail.daemon.configuration;

import io.vertx.core.Future;
import java.util.Optional;
import org.marjoramsail.core.configuration.ChangeRefusal;
import org.marjoramsail.core.configuration.ConfigurationRoot;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.platform.ObjectApiException;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;
import org.marjoramsail.daemon.platform.StoredObject;

/**
 * The root as the store holds it.
 *
 * @param root its content
 * @param resourceVersion its version in the store; empty while it does not exist
 */
record RootObject(ConfigurationRoot root, String resourceVersion) {

  static final String KIND = "configurations";
  static final String NAME = "root";

  private static final long PLATFORM_BOUND_BYTES = 1_000_000;
  private static final long METADATA_BYTES = 4_096;

  /** The most that the root may take as JSON; the platform's bound less its metadata. */
  static final long BOUND_BYTES = PLATFORM_BOUND_BYTES - METADATA_BYTES;

  /** Reads the root; an absent one is the empty root. */
  static Future<RootObject> read(ObjectApi store) {
    return store
        .get(KIND, NAME)
        .compose(RootObject::parse)
        .recover(
            failure ->
                isFailure(failure, Failure.NOT_FOUND)
                    ? Future.succeededFuture(new RootObject(ConfigurationRoot.empty(), ""))
                    : Future.failedFuture(failure));
  }

  /** Reads the root from an object of the store; fails where its form is unknown. */
  static Future<RootObject> parse(StoredObject object) {
    try {
      ConfigurationRoot root = ConfigurationFormat.fromTree(object.spec(), ConfigurationRoot.class);
      return Future.succeededFuture(new RootObject(root, object.resourceVersion()));
    } catch (ConfigurationFormatException failure) {
      return Future.failedFuture(failure);
    }
  }

  /** Replaces this root by another if nobody else has. */
  Future<RootObject> replaceBy(ConfigurationRoot next, ObjectApi store) {
    Future<StoredObject> written =
        resourceVersion.isEmpty()
            ? store.create(KIND, NAME, ConfigurationFormat.toTree(next))
            : store.replace(
                new StoredObject(KIND, NAME, resourceVersion, ConfigurationFormat.toTree(next)));
    return written.map(object -> new RootObject(next, object.resourceVersion()));
  }

  /** Why a root cannot be kept as one object, if it is too large. */
  static Optional<ChangeRefusal> refusalForSize(ConfigurationRoot root) {
    long bytes = ConfigurationFormat.sizeOf(root);
    return bytes > BOUND_BYTES
        ? Optional.of(new ChangeRefusal.TooLarge(bytes, BOUND_BYTES))
        : Optional.empty();
  }

  /** Whether a call failed in this way. */
  static boolean isFailure(Throwable failure, Failure kind) {
    return failure instanceof ObjectApiException refused && refused.failure() == kind;
  }
}
