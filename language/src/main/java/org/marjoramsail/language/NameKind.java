package org.marjoramsail.language;

import java.util.Arrays;
import java.util.Optional;

/** What a name in a statement names, so that completion can offer the names that there are. */
public enum NameKind {
  /** A service of the configuration. */
  SERVICE("a service"),
  /** A model of the configuration. */
  MODEL("a model"),
  /** A server of the configuration. */
  UPSTREAM("an upstream"),
  /** A rule of the configuration. */
  RULE("a rule"),
  /** An organisation of the configuration. */
  ORGANISATION("an organisation"),
  /** The host of a daemon. */
  HOST("a host"),
  /** A request. */
  REQUEST("a request"),
  /** A version of a model. */
  VERSION("a version"),
  /** The fingerprint of a quarantined content or prompt part. */
  FINGERPRINT("a fingerprint"),
  /** A name that is not in use. */
  NEW("a new name");

  private final String label;

  NameKind(String label) {
    this.label = label;
  }

  /** What errors call such a name. */
  public String label() {
    return label;
  }

  static NameKind of(ObjectForm form) {
    return valueOf(form.name());
  }

  static Optional<NameKind> ofLabel(String label) {
    return Arrays.stream(values()).filter(kind -> kind.label.equals(label)).findFirst();
  }
}
