/** Types of the messages between daemons; the daemon module encodes them. */
package org.marjoramsail.core.message;
