package org.marjoramsail.core.configuration;

/**
 * Identifies one object of a configuration.
 *
 * @param kind the kind of the object
 * @param name the name of the object; unique among the objects of its kind
 */
public record ObjectKey(ObjectKind kind, String name) {

  @Override
  public String toString() {
    return kind.code() + "/" + name;
  }
}
