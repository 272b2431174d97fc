package org.marjoramsail.daemon.claim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import java.util.Locale;
import java.util.Optional;
import org.marjoramsail.core.claim.ClaimAction.ReadPage;
import org.marjoramsail.core.claim.ClaimAction.WritePage;
import org.marjoramsail.core.claim.VersionedPage;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.daemon.platform.ObjectApiException;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;
import org.marjoramsail.daemon.platform.StoredObject;

/** Reads and writes the claim pages of one segment as objects of the platform's object API. */
final class SegmentStore {

  private static final String KIND = "claimsegments";

  private final ObjectApi api;
  private final MeterRegistry meters;
  private final int segment;

  SegmentStore(ObjectApi api, MeterRegistry meters, int segment) {
    this.api = api;
    this.meters = meters;
    this.segment = segment;
  }

  /** Reads a page; empty if it does not exist, and a failure if its content is not a page. */
  Future<Optional<VersionedPage>> read(ReadPage read) {
    return api.get(KIND, name(read.slot()))
        .compose(this::decode)
        .map(Optional::of)
        .recover(
            failure ->
                failure(failure) == Failure.NOT_FOUND
                    ? Future.succeededFuture(Optional.empty())
                    : Future.failedFuture(failure));
  }

  private Future<VersionedPage> decode(StoredObject object) {
    return ClaimPageCodec.read(object.spec())
        .map(page -> new VersionedPage(object.resourceVersion(), page))
        .map(Future::succeededFuture)
        .orElseGet(
            () ->
                Future.failedFuture(
                    new ObjectApiException(
                        Failure.INVALID,
                        KIND,
                        object.name(),
                        "the content is not a claim page",
                        Optional.empty(),
                        null)));
  }

  /** Writes a page and returns its new version. */
  Future<String> write(WritePage write) {
    ObjectNode spec = ClaimPageCodec.write(write.page());
    String name = name(write.slot());
    return write
        .expectedVersion()
        .map(version -> api.replace(new StoredObject(KIND, name, version, spec)))
        .orElseGet(() -> api.create(KIND, name, spec))
        .map(StoredObject::resourceVersion)
        .onComplete(
            result ->
                count(
                    result.succeeded()
                        ? "ok"
                        : failure(result.cause()).name().toLowerCase(Locale.ROOT)));
  }

  static Failure failure(Throwable cause) {
    // Other failures may occur after the call has taken effect.
    return cause instanceof ObjectApiException typed ? typed.failure() : Failure.UNCERTAIN;
  }

  private void count(String result) {
    meters.counter("marjoramsail.claims.writes", "result", result).increment();
  }

  private String name(int slot) {
    return segment + "-" + slot;
  }
}
