package org.marjoramsail.daemon.platform;

import io.vertx.core.http.HttpMethod;
import java.util.Locale;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;

/** The verbs of the object API; a lost answer means another thing for each. */
enum ObjectApiVerb {
  GET("GET", false),
  LIST("GET", false),
  WATCH("GET", false),
  CREATE("POST", true),
  REPLACE("PUT", true),
  DELETE("DELETE", true);

  private final String method;
  private final boolean write;

  ObjectApiVerb(String method, boolean write) {
    this.method = method;
    this.write = write;
  }

  HttpMethod method() {
    return HttpMethod.valueOf(method);
  }

  /** What it means that the call was sent and no usable answer came. */
  Failure lostAnswer() {
    return write ? Failure.UNCERTAIN : Failure.UNAVAILABLE;
  }

  String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
