package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.Locale;

/** Reason why a change was not accepted, or why its outcome is unknown. */
public sealed interface ChangeRefusal {

  /** Returns a message for operators. */
  String message();

  /** Returns the reason in lower case with hyphens, as it appears in responses and metrics. */
  default String code() {
    return getClass()
        .getSimpleName()
        .replaceAll("(?<=[a-z])(?=[A-Z])", "-")
        .toLowerCase(Locale.ROOT);
  }

  /** Returns whether it is certain that the change had no effect and will have none. */
  default boolean isProven() {
    return true;
  }

  /**
   * The change itself is invalid.
   *
   * @param problems all reasons
   */
  record Invalid(List<ConfigurationProblem> problems) implements ChangeRefusal {

    /** Copies the list, so that the value cannot change. */
    public Invalid {
      problems = List.copyOf(problems);
    }

    @Override
    public String message() {
      return problems.stream()
          .map(ConfigurationProblem::message)
          .reduce((left, right) -> left + "\n" + right)
          .orElse("");
    }
  }

  /**
   * Other changes of the same objects were accepted after the base revision.
   *
   * @param baseRevision the revision that the refused change was made for
   * @param others the later changes of the same objects
   */
  record Conflict(long baseRevision, List<OrderRecord> others) implements ChangeRefusal {

    /** Copies the list, so that the value cannot change. */
    public Conflict {
      others = List.copyOf(others);
    }

    @Override
    public String message() {
      StringBuilder text =
          new StringBuilder("The same objects were changed after revision " + baseRevision + ":");
      for (OrderRecord other : others) {
        text.append(" order ").append(other.order()).append(" of ").append(other.author());
        text.append(" made revision ").append(other.revision());
        text.append(" (\"").append(other.summary()).append("\").");
      }
      return text.toString();
    }
  }

  /**
   * The base revision of the change is too old to check for conflicts, or does not exist yet.
   *
   * @param baseRevision the base revision that the change states
   * @param oldestKnown the oldest base revision that is allowed
   * @param newest the newest base revision that is allowed
   */
  record BaseUnknown(long baseRevision, long oldestKnown, long newest) implements ChangeRefusal {

    @Override
    public String message() {
      return "The change is based on revision "
          + baseRevision
          + "; allowed: from "
          + oldestKnown
          + " to "
          + newest
          + ". Review the newest revision and send the change again.";
    }
  }

  /**
   * The root would exceed the maximum size of an object in the store.
   *
   * @param bytes the size that the root would have
   * @param bound the maximum size
   */
  record TooLarge(long bytes, long bound) implements ChangeRefusal {

    @Override
    public String message() {
      return "The configuration would take " + bytes + " bytes; allowed: " + bound + ".";
    }
  }

  /**
   * The store returned an older configuration than the one in force on this daemon, so no change is
   * accepted on it.
   *
   * @param storedRevision the revision in the store
   * @param revisionInForce the revision in force on this daemon
   */
  record StoreBehind(long storedRevision, long revisionInForce) implements ChangeRefusal {

    @Override
    public String message() {
      return "The store shows revision "
          + storedRevision
          + " but revision "
          + revisionInForce
          + " is in force; changes of an older configuration are not accepted.";
    }
  }

  /**
   * The requested revision is not in the history.
   *
   * @param revision the requested revision
   */
  record RevisionNotKept(long revision) implements ChangeRefusal {

    @Override
    public String message() {
      return "Revision " + revision + " is not kept; allowed: one that the history lists.";
    }
  }

  /**
   * The store rejected the update of the root.
   *
   * @param detail the response of the store
   */
  record StoreRefused(String detail) implements ChangeRefusal {

    @Override
    public String message() {
      return "The store refused the change: " + detail;
    }
  }

  /**
   * The store is unavailable and this request did not write the change. An earlier request with the
   * same order identifier may have written it.
   *
   * @param detail the last response of the store
   */
  record StoreUnavailable(String detail) implements ChangeRefusal {

    @Override
    public String message() {
      return "The store cannot be reached; this time the change was not written: " + detail;
    }
  }

  /**
   * The change was sent to the store, the response was lost, and the store could not be read since.
   *
   * @param order identifier of the change; sending it again returns the outcome
   */
  record Unsettled(OrderId order) implements ChangeRefusal {

    @Override
    public String message() {
      return "Whether order "
          + order
          + " was accepted is not known yet; send the same order again to find out.";
    }

    @Override
    public boolean isProven() {
      return false;
    }
  }
}
