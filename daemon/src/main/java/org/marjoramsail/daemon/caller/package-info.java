/** HTTP interface for callers: completions, plain services, and typed refusals. */
package org.marjoramsail.daemon.caller;
