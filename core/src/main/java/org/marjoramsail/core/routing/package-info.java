/** Routing of requests to services by host and path. */
package org.marjoramsail.core.routing;
