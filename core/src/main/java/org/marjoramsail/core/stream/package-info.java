/** Which software version began each stream, so that no other one continues it. */
package org.marjoramsail.core.stream;
