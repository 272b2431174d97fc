/** Checks of a configuration beyond those that decide whether a daemon accepts it. */
package org.marjoramsail.core.configuration.check;
