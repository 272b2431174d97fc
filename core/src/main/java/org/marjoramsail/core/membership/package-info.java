/** Membership of the daemons: a failure detector with incarnations. */
package org.marjoramsail.core.membership;
