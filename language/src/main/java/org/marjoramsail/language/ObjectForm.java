package org.marjoramsail.language;

import static org.marjoramsail.language.ObjectField.choice;
import static org.marjoramsail.language.ObjectField.flag;
import static org.marjoramsail.language.ObjectField.optional;
import static org.marjoramsail.language.ObjectField.required;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.configuration.ObjectKind;
import org.marjoramsail.core.configuration.ServiceKind;
import org.marjoramsail.core.configuration.StoreOutagePolicy;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamRole;

/** How operators write the objects of a configuration: one form for each kind. */
public enum ObjectForm {
  /** What callers can ask for. */
  SERVICE(choice("kind", ServiceKind.values()), optional("model", FieldType.TEXT)),
  /** A model and the version that its pools run. */
  MODEL(
      required("version", FieldType.TEXT),
      optional("adapters", FieldType.LIST),
      required("kv-bytes-per-token", FieldType.INTEGER)),
  /** A server. */
  UPSTREAM(
      required("service", FieldType.TEXT),
      choice("role", UpstreamRole.values()),
      required("address", FieldType.TEXT),
      required("port", FieldType.INTEGER),
      required("availability-zone", FieldType.TEXT),
      required("region", FieldType.TEXT),
      required("slots", FieldType.INTEGER),
      flag("fenced"),
      flag("drained")),
  /** How requests of one kind are served. */
  RULE(
      required("service", FieldType.TEXT),
      optional("method", FieldType.TEXT),
      optional("path-prefix", FieldType.TEXT),
      choice("service-class", ServiceClass.values()),
      choice("repeatability", Repeatability.values()),
      required("first-token-target-millis", FieldType.INTEGER),
      required("per-token-target-millis", FieldType.INTEGER),
      required("deadline-millis", FieldType.INTEGER),
      choice("store-outage-policy", StoreOutagePolicy.values()).withoutNeed()),
  /** Who may call, and how much. */
  ORGANISATION(
      optional("token-hashes", FieldType.LIST),
      optional("services", FieldType.LIST),
      required("weight", FieldType.NUMBER),
      required("maximum-concurrency", FieldType.INTEGER),
      required("requests-per-second", FieldType.NUMBER),
      required("tokens-per-second", FieldType.NUMBER));

  // An unmodifiable list of records; the checker cannot see that it is immutable.
  @SuppressWarnings("ImmutableEnumChecker")
  private final List<ObjectField> fields;

  ObjectForm(ObjectField... fields) {
    this.fields = List.of(fields);
  }

  /** The fields, in the order of the configuration's own types. */
  public List<ObjectField> fields() {
    return fields;
  }

  /** The field of that name, as operators write it. */
  public Optional<ObjectField> field(String name) {
    return fields.stream().filter(field -> field.name().equals(name)).findFirst();
  }

  /** The kind of the objects that are written so. */
  public ObjectKind kind() {
    return ObjectKind.valueOf(name());
  }

  /** The kind as operators write it. */
  public String code() {
    return kind().code();
  }

  /** The kind as paths name it. */
  public String plural() {
    return code() + "s";
  }

  /** The form of the kind that paths name so. */
  public static Optional<ObjectForm> ofPlural(String plural) {
    return Arrays.stream(values()).filter(form -> form.plural().equals(plural)).findFirst();
  }
}
