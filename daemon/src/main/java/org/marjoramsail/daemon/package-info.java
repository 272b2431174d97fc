/** The shell around the core: one package for each peer that a daemon talks to. */
package org.marjoramsail.daemon;
