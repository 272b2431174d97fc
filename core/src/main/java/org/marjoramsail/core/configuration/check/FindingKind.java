package org.marjoramsail.core.configuration.check;

import java.util.Locale;

/** Kinds of findings. */
public enum FindingKind {
  /** A daemon refuses the value. */
  INVALID("is not allowed", Severity.ERROR),
  /** A daemon uses another value in place of the stated one, without a refusal. */
  TOLERATED("is accepted but not used as stated", Severity.WARNING),
  /** No daemon reads the field. */
  UNKNOWN_FIELD("is not a field that a daemon reads", Severity.WARNING),
  /** Two entries of one kind have the same name. */
  DUPLICATE_NAME("is the name of several entries", Severity.WARNING),
  /** No request reaches the entry. */
  NEVER_MATCHES("never matches a request", Severity.WARNING),
  /** Requests of the entry are refused. */
  NOT_SERVED("cannot be served", Severity.ERROR),
  /** The entry lacks what it needs to serve requests, which may still be added. */
  INCOMPLETE("is not enough to serve requests", Severity.WARNING),
  /** Nothing refers to the entry. */
  UNUSED("is not used", Severity.WARNING),
  /** Callers cannot be identified by the keys of the organisation. */
  AMBIGUOUS_KEY("does not identify the callers of one organisation", Severity.WARNING),
  /** Callers without a valid key are identified as the organisation. */
  OPEN_KEY("identifies callers that state no valid key", Severity.ERROR),
  /** The value and another limit cannot both take effect. */
  CONTRADICTION("contradicts another limit", Severity.WARNING),
  /** The value gives a service no requests, or a share that is not the stated one. */
  WEIGHT("gives no share of the requests", Severity.WARNING),
  /** Daemons ignore the configuration, since its version is not newer than the one in force. */
  OUTDATED("is ignored by daemons", Severity.WARNING);

  private final String phrase;
  private final Severity severity;

  FindingKind(String phrase, Severity severity) {
    this.phrase = phrase;
    this.severity = severity;
  }

  /** Returns the kind in lower case with hyphens, as it appears to programs. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the part of a message that states what is wrong with the value. */
  String phrase() {
    return phrase;
  }

  /** Returns the severity of all findings of this kind. */
  public Severity severity() {
    return severity;
  }
}
