/** Sends operators' statements to a daemon, and shows what it answers. */
package org.marjoramsail.command.operator;
