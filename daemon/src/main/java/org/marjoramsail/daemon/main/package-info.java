/** The daemon's command line: arguments, exit codes, logging, start and stop. */
package org.marjoramsail.daemon.main;
