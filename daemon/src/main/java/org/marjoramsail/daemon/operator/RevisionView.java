package org.marjoramsail.daemon.operator;

/**
 * The configuration that is in force on a daemon.
 *
 * @param revision its revision
 * @param source where it came from: store, peer or none
 * @param sinceMillis how long it has been in force, in milliseconds
 */
public record RevisionView(long revision, String source, long sinceMillis) {}
