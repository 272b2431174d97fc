/** Fleet-wide placement: the shards that this daemon owns, and its requests to all shard owners. */
package org.marjoramsail.daemon.placement;
