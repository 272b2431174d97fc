/** Measures what each role costs, and works out what that makes of the target size. */
package org.marjoramsail.command.capacity;
