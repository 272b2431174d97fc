/**
 * Long randomised runs: a seeded plan of faults beside a workload, and the verdict on what every
 * caller saw and every server did.
 */
package org.marjoramsail.command.soak;
