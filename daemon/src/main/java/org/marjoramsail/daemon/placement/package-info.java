/** Placement over the fleet: the owned shards of this daemon, and its requests with all owners. */
package org.marjoramsail.daemon.placement;
