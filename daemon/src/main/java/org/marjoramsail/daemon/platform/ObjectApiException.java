package org.marjoramsail.daemon.platform;

import java.util.Optional;
import org.marjoramsail.core.failure.MarjoramsailException;

/** A call of the object API that gave no result. */
public final class ObjectApiException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  /** What kind of failure it is. */
  public enum Failure {
    /** No such object. */
    NOT_FOUND(true),
    /** An object of that name exists. */
    ALREADY_EXISTS(true),
    /** The object has another version than the one named. */
    CONFLICT(true),
    /** The version is older than what the platform remembers. */
    VERSION_TOO_OLD(true),
    /** The platform refuses the object: too large or malformed. */
    INVALID(true),
    /** The call budget is spent; nothing was done. */
    OVER_BUDGET(true),
    /** The platform said that it did nothing, or could not be connected to. */
    UNAVAILABLE(true),
    /** The call was sent and its answer lost: a write may have taken effect. */
    UNCERTAIN(false);

    private final boolean withoutEffect;

    Failure(boolean withoutEffect) {
      this.withoutEffect = withoutEffect;
    }

    /** Whether it is proven that the call changed nothing. */
    public boolean isWithoutEffect() {
      return withoutEffect;
    }
  }

  private final Failure failure;
  private final String kind;
  private final String name;
  private final Long retryAfterMillis;

  /**
   * Creates an instance with what failed.
   *
   * @param retryAfterMillis when the platform wants to be asked again, if it said so
   */
  public ObjectApiException(
      Failure failure,
      String kind,
      String name,
      String detail,
      Optional<Long> retryAfterMillis,
      Throwable cause) {
    super(failure + " for " + kind + "/" + name + ": " + detail, cause);
    this.failure = failure;
    this.kind = kind;
    this.name = name;
    this.retryAfterMillis = retryAfterMillis.orElse(null);
  }

  /** What kind of failure it is. */
  public Failure failure() {
    return failure;
  }

  /** The kind of the object that the call was about. */
  public String kind() {
    return kind;
  }

  /** The name of the object that the call was about; empty for a whole kind. */
  public String name() {
    return name;
  }

  /** When the platform wants to be asked again, in milliseconds, if it said so. */
  public Optional<Long> retryAfterMillis() {
    return Optional.ofNullable(retryAfterMillis);
  }
}
