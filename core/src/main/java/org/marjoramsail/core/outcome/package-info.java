/**
 * What becomes of one request, whatever fails: one state machine for each, the budget for retries
 * and the quarantine for content that crashes upstreams.
 */
package org.marjoramsail.core.outcome;
