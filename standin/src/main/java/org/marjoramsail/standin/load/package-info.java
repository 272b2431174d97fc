/**
 * The load tool: seeded workloads of the two deployments, an open-loop sender that checks each
 * answer token by token, and the report of what came of every request.
 */
package org.marjoramsail.standin.load;
