/** The command line {@code marjoramsail}: its commands, their options and its exit codes. */
package org.marjoramsail.command;
