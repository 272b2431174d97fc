package org.marjoramsail.daemon.operator;

/** Keeps a record of each order. */
@FunctionalInterface
public interface AuditLog {

  /** Accepts a record; does not wait for it to be kept. */
  void add(AuditRecord entry);
}
