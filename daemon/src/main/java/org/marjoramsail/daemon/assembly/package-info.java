/** Builds a daemon from its settings, starts its parts in order and stops them in order. */
package org.marjoramsail.daemon.assembly;
