/** What is believed of upstreams that register themselves, and how old that is. */
package org.marjoramsail.core.discovery;
