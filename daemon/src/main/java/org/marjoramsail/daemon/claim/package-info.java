/** Claims of requests with an idempotency key, recorded in the platform's object API. */
package org.marjoramsail.daemon.claim;
