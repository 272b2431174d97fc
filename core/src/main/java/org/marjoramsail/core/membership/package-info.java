/** Which daemons run, as this one sees it: a failure detector with incarnations. */
package org.marjoramsail.core.membership;
