/** Microbenchmarks of the decision core, and a small model that compares policies of placement. */
package org.marjoramsail.benchmark;
