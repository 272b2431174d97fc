/** The clock that all code of the project uses. */
package org.marjoramsail.core.time;
