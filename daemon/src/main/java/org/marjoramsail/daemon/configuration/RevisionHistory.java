package org.marjoramsail.daemon.configuration;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import java.util.Optional;
import org.marjoramsail.core.configuration.ConfigurationRoot;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;

/**
 * Earlier revisions, one immutable object each.
 *
 * <p>A revision is kept just before the root moves past it. It is final by then, so two daemons
 * that keep it at once write the same, and a lost race leaves nothing to clean up.
 */
final class RevisionHistory {

  static final String KIND = "configurationrevisions";

  /** How many revisions before the newest are kept. */
  static final long KEPT = 100;

  private final ObjectApi store;
  private final MeterRegistry meters;

  RevisionHistory(ObjectApi store, MeterRegistry meters) {
    this.store = store;
    this.meters = meters;
  }

  /** Keeps a revision that is about to be replaced; one that is kept already is left alone. */
  Future<Void> keep(ConfigurationRoot root) {
    long revision = root.configuration().revision();
    if (revision == 0) {
      return Future.succeededFuture();
    }
    return store
        .create(KIND, name(revision), ConfigurationFormat.toTree(root))
        .<Void>mapEmpty()
        .recover(
            failure ->
                RootObject.isFailure(failure, Failure.ALREADY_EXISTS)
                    ? Future.succeededFuture()
                    : Future.failedFuture(failure));
  }

  /** Reads an earlier or the newest revision; empty when it is not kept. */
  Future<Optional<ConfigurationRoot>> read(long revision) {
    return RootObject.read(store)
        .compose(
            newest ->
                newest.root().configuration().revision() == revision
                    ? Future.succeededFuture(Optional.of(newest.root()))
                    : readKept(revision));
  }

  /**
   * Deletes what is older than the bound.
   *
   * <p>The two oldest are tried, so that one which an outage kept is deleted with the next change.
   */
  void prune(long newest) {
    for (long revision = newest - KEPT - 1; revision >= newest - KEPT - 2; revision--) {
      if (revision > 0) {
        delete(revision);
      }
    }
  }

  private void delete(long revision) {
    store
        .get(KIND, name(revision))
        .compose(store::delete)
        .onFailure(
            failure -> {
              if (!RootObject.isFailure(failure, Failure.NOT_FOUND)) {
                meters.counter("marjoramsail.configuration.history.prune.failures").increment();
              }
            });
  }

  private Future<Optional<ConfigurationRoot>> readKept(long revision) {
    return store
        .get(KIND, name(revision))
        .compose(RootObject::parse)
        .map(kept -> Optional.of(kept.root()))
        .recover(
            failure ->
                RootObject.isFailure(failure, Failure.NOT_FOUND)
                    ? Future.succeededFuture(Optional.empty())
                    : Future.failedFuture(failure));
  }

  private static String name(long revision) {
    return Long.toString(revision);
  }
}
