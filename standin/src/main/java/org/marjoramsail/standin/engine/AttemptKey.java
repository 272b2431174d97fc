package org.marjoramsail.standin.engine;

/**
 * Names one attempt of one request.
 *
 * @param request the request
 * @param attempt which try of it
 */
public record AttemptKey(String request, int attempt) {}
