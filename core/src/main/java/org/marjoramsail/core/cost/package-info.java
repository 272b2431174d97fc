/** Expected cost of requests, and the speed, slowdown and failures of upstreams. */
package org.marjoramsail.core.cost;
