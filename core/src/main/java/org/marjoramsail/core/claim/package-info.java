/**
 * Claims that let a request with an idempotency key run at most once, across daemons and restarts.
 *
 * <p>Claims are recorded in pages in the object API, many to one conditional update. {@code
 * docs/design/claims.md} has the reasons.
 */
package org.marjoramsail.core.claim;
