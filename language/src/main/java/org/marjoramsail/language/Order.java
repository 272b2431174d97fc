package org.marjoramsail.language;

import java.util.List;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/** Changes something. */
public sealed interface Order extends Statement {

  /** What the order acts on. */
  default OrderTarget target() {
    return OrderTarget.CONFIGURATION;
  }

  /**
   * Creates an object.
   *
   * @param form the kind of the object and its fields
   * @param name a name that no object of the kind has
   * @param assignments its fields
   */
  record Create(ObjectForm form, String name, List<Assignment> assignments) implements Order {

    /** Copies the list, so that the value cannot change. */
    public Create {
      assignments = List.copyOf(assignments);
    }

    @Override
    public String canonical() {
      return "create " + Words.named(form, name) + Assignment.canonical(assignments);
    }
  }

  /**
   * Changes fields of an object and leaves the others.
   *
   * @param form the kind of the object and its fields
   * @param name the name of the object
   * @param assignments the fields that change
   */
  record Change(ObjectForm form, String name, List<Assignment> assignments) implements Order {

    /** Copies the list, so that the value cannot change. */
    public Change {
      assignments = List.copyOf(assignments);
    }

    @Override
    public String canonical() {
      return "change " + Words.named(form, name) + Assignment.canonical(assignments);
    }
  }

  /**
   * Deletes an object.
   *
   * @param form the kind of the object and its fields
   * @param name the name of the object
   */
  record Delete(ObjectForm form, String name) implements Order {

    @Override
    public String canonical() {
      return "delete " + Words.named(form, name);
    }
  }

  /**
   * Gives a server no new work, or gives it work again.
   *
   * @param upstream the server
   * @param isDrained whether it is taken out of service
   */
  record DrainUpstream(UpstreamName upstream, boolean isDrained) implements Order {

    @Override
    public String canonical() {
      return (isDrained ? "drain" : "return") + " upstream " + Words.quoted(upstream.value());
    }
  }

  /**
   * Has a daemon hand over its work, or take work again.
   *
   * @param host the host of the daemon
   * @param isDrained whether it is taken out of service
   */
  record DrainHost(String host, boolean isDrained) implements Order {

    @Override
    public OrderTarget target() {
      return OrderTarget.HOST;
    }

    @Override
    public String canonical() {
      return (isDrained ? "drain" : "return") + " host " + Words.quoted(host);
    }
  }

  /**
   * Has an engine load a version of a model.
   *
   * @param model the model
   * @param version the version
   * @param upstream the engine
   */
  record LoadModel(String model, String version, UpstreamName upstream) implements Order {

    @Override
    public OrderTarget target() {
      return OrderTarget.ENGINE;
    }

    @Override
    public String canonical() {
      return "load model "
          + Words.quoted(model)
          + " version "
          + Words.quoted(version)
          + " on "
          + Words.quoted(upstream.value());
    }
  }

  /**
   * Has an engine change its role.
   *
   * @param upstream the engine
   * @param role the role that it should have
   */
  record ChangeRole(UpstreamName upstream, UpstreamRole role) implements Order {

    @Override
    public OrderTarget target() {
      return OrderTarget.ENGINE;
    }

    @Override
    public String canonical() {
      return "change role of upstream "
          + Words.quoted(upstream.value())
          + " to "
          + Words.code(role);
    }
  }

  /**
   * Lets a content or a prompt part run again that was refused because it crashed upstreams.
   *
   * @param fingerprint the fingerprint of the content or the part
   */
  record LiftQuarantine(String fingerprint) implements Order {

    @Override
    public OrderTarget target() {
      return OrderTarget.QUARANTINE;
    }

    @Override
    public String canonical() {
      return "lift quarantine " + Words.quoted(fingerprint);
    }
  }

  /**
   * Makes the content of an earlier revision a new revision.
   *
   * @param revision the earlier revision
   */
  record RollBack(long revision) implements Order {

    @Override
    public String canonical() {
      return "roll back to revision " + revision;
    }
  }
}
