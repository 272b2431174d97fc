/** Which service a request of a caller goes to, by host and path. */
package org.marjoramsail.core.routing;
