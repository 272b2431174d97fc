package org.marjoramsail.daemon.platform;

import java.util.List;

/**
 * All objects of a kind at one version.
 *
 * @param resourceVersion where a watch goes on
 * @param objects the objects
 */
public record ObjectList(String resourceVersion, List<StoredObject> objects) {}
