package org.marjoramsail.core.configuration;

/**
 * Names one object of a configuration.
 *
 * @param kind what it is
 * @param name unique among the objects of that kind
 */
public record ObjectKey(ObjectKind kind, String name) {

  @Override
  public String toString() {
    return kind.code() + "/" + name;
  }
}
