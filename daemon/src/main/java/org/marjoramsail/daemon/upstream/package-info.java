/** What this daemon says to upstreams: model engines and plain services. */
package org.marjoramsail.daemon.upstream;
