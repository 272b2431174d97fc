/** I/O layer of the request lifecycle: executes its actions and delivers events to it. */
package org.marjoramsail.daemon.request;
