/** Explains a request afterwards, from the logs of several daemons. */
package org.marjoramsail.command.explain;
