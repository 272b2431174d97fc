package org.marjoramsail.standin.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** One object at one version; its content is never changed in place. */
record StoredEntry(String kind, String name, String uid, long version, ObjectNode spec) {

  ObjectNode toJson() {
    ObjectNode object = JsonNodeFactory.instance.objectNode();
    object.put("kind", kind);
    object
        .putObject("metadata")
        .put("name", name)
        .put("resourceVersion", Long.toString(version))
        .put("uid", uid);
    object.set("spec", spec);
    return object;
  }

  StoredEntry at(long newVersion, ObjectNode newSpec) {
    return new StoredEntry(kind, name, uid, newVersion, newSpec);
  }
}
