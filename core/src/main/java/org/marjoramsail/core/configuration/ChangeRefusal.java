package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.Locale;

/** Why a change was not accepted, or that nobody knows. */
public sealed interface ChangeRefusal {

  /** A sentence for operators. */
  String message();

  /** The reason in lower case with hyphens, as operators and counters see it. */
  default String code() {
    return getClass()
        .getSimpleName()
        .replaceAll("(?<=[a-z])(?=[A-Z])", "-")
        .toLowerCase(Locale.ROOT);
  }

  /** Whether it is proven that the change took no effect and never will. */
  default boolean isProven() {
    return true;
  }

  /**
   * The change itself is unsound.
   *
   * @param problems every reason
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
   * Other changes of the same objects came in between.
   *
   * @param baseRevision the revision that the refused change was made for
   * @param others the changes since, which touched the same objects
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
   * The revision that the change was made for is unknown here: too long ago, or not yet made.
   *
   * @param baseRevision the revision that the change names
   * @param oldestKnown the oldest revision that it may name
   * @param newest the newest revision that it may name
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
          + ". Look at the newest revision and order it again.";
    }
  }

  /**
   * The root would not fit into one object of the platform.
   *
   * @param bytes how large it would be
   * @param bound how large it may be
   */
  record TooLarge(long bytes, long bound) implements ChangeRefusal {

    @Override
    public String message() {
      return "The configuration would take " + bytes + " bytes; allowed: " + bound + ".";
    }
  }

  /**
   * The store shows an older configuration than the one in force here, so nothing is built on it.
   *
   * @param storedRevision what the store shows
   * @param revisionInForce what is in force here
   */
  record StoreBehind(long storedRevision, long revisionInForce) implements ChangeRefusal {

    @Override
    public String message() {
      return "The store shows revision "
          + storedRevision
          + " but revision "
          + revisionInForce
          + " is in force; an older configuration is never built on.";
    }
  }

  /**
   * No such revision is kept.
   *
   * @param revision the revision asked for
   */
  record RevisionNotKept(long revision) implements ChangeRefusal {

    @Override
    public String message() {
      return "Revision " + revision + " is not kept; allowed: one that the history lists.";
    }
  }

  /**
   * The store refuses the root as it stands.
   *
   * @param detail what the store said
   */
  record StoreRefused(String detail) implements ChangeRefusal {

    @Override
    public String message() {
      return "The store refused the change: " + detail;
    }
  }

  /**
   * The store cannot be reached; the change was not written this time. What became of an earlier
   * sending of the same order stays unknown.
   *
   * @param detail what the store said last
   */
  record StoreUnavailable(String detail) implements ChangeRefusal {

    @Override
    public String message() {
      return "The store cannot be reached; this time the change was not written: " + detail;
    }
  }

  /**
   * The change was written, the answer was lost, and the store could not be read since.
   *
   * @param order ask again with the same order to learn what became of it
   */
  record Unsettled(OrderId order) implements ChangeRefusal {

    @Override
    public String message() {
      return "Whether order "
          + order
          + " was accepted is not known yet; send the same order again to learn it.";
    }

    @Override
    public boolean isProven() {
      return false;
    }
  }
}
