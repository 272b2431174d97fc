/** Upstreams that register themselves, as this daemon finds them in the platform's lists. */
package org.marjoramsail.core.discovery;
