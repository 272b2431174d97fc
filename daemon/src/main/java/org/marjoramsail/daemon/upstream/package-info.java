/** Clients and status polls for upstreams: model engines and plain services. */
package org.marjoramsail.daemon.upstream;
