package org.marjoramsail.core.message;

/**
 * A message between two daemons.
 *
 * <p>Each implementation is a record whose components are numbers, strings, enums, lists, maps,
 * {@code Optional}s and other such records, so that one codec encodes all of them. A record that
 * daemons of different versions exchange keeps its component names; new components are {@code
 * Optional}.
 */
public interface PeerMessage {}
