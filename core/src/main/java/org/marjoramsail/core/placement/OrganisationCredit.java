package org.marjoramsail.core.placement;

/**
 * Unused part of the rate limits of an organisation over all shards; negative while it is in debt.
 *
 * @param requests unused requests
 * @param tokens unused tokens
 */
public record OrganisationCredit(double requests, double tokens) {

  /** Less than any request costs, but enough for one request, which may overdraw the credit. */
  private static final double SMALLEST = 1e-6;

  /** Credit of an organisation of which nothing is known: a predecessor may have used all of it. */
  static final OrganisationCredit UNKNOWN = new OrganisationCredit(SMALLEST, SMALLEST);
}
