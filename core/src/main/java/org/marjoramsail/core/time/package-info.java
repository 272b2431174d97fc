/** The one clock type of the project. */
package org.marjoramsail.core.time;
