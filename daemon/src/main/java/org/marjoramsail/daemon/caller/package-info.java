/** What callers say to this daemon: completions, plain services, and typed refusals. */
package org.marjoramsail.daemon.caller;
