package org.marjoramsail.daemon.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An object as the platform holds it.
 *
 * @param kind the plural of its kind, as in the path
 * @param name unique in its kind
 * @param resourceVersion the version that a conditional update names; empty for one to be created
 * @param spec its content
 */
public record StoredObject(String kind, String name, String resourceVersion, ObjectNode spec) {}
