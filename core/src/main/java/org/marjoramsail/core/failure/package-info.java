/** Types of the failures of requests and operations. */
package org.marjoramsail.core.failure;
