/** Decisions of the router, without input or output. */
package org.marjoramsail.core;
