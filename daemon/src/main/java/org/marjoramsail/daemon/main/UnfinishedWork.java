package org.marjoramsail.daemon.main;

/**
 * What a daemon still has to do for others.
 *
 * @param requests requests of callers that have no answer yet
 * @param atMostOnce how many of these may not run again
 * @param shards the shards that it owns
 */
public record UnfinishedWork(int requests, int atMostOnce, int shards) {}
