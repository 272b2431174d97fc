/**
 * Decisions on which requests are admitted while the upstreams of a shard have no room: capacity
 * that is kept for urgent requests, and early rejections.
 */
package org.marjoramsail.core.admission;
