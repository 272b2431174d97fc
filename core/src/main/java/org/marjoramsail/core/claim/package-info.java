/**
 * Claims that let a request with an idempotency key run at most once, across daemons and restarts.
 *
 * <p>Claims are recorded in batches, each by one conditional update of a page in the object API.
 * See {@code docs/design/claims.md} for the design.
 */
package org.marjoramsail.core.claim;
