/** Claims of requests with an idempotency key, stored through the platform's object API. */
package org.marjoramsail.daemon.claim;
