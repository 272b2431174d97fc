/** Placement of requests on upstreams: queues, slots, estimates and the owners of shards. */
package org.marjoramsail.core.placement;
