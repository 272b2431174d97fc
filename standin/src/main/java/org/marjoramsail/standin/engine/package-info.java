/**
 * Stand-in for a model engine that batches continuously, in prefill or decode role.
 *
 * <p>{@link org.marjoramsail.standin.engine.EngineStandIn} speaks HTTP; the model behind it (batch,
 * prefix cache, KV memory, links) knows only a time in microseconds and is tested without sockets.
 */
package org.marjoramsail.standin.engine;
