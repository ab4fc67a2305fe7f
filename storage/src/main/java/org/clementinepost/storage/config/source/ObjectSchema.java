package org.clementinepost.storage.config.source;

import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.regex.Pattern;
import org.clementinepost.api.config.ObjectKind;

/**
 * Schema of one kind of object.
 *
 * @param kind the kind
 * @param nameField the field that holds the object's name
 * @param fields all fields
 * @param references the fields that name other objects
 */
public record ObjectSchema(
    ObjectKind kind,
    String nameField,
    Vector<FieldSchema> fields,
    Vector<ReferenceField> references) {

  /** The field that names the service from which a service inherits its missing fields. */
  public static final String DEFAULTS_FROM = "defaultsFrom";

  private static final int MAX_RATE_PER_SECOND = 10_000_000;
  private static final int MAX_BURST_REQUESTS = 10_000_000;
  private static final int MAX_WEIGHT = 1_000;
  private static final int MAX_PERCENT = 100;
  private static final int MAX_BACKEND_SERVERS = 160_000;
  private static final int MAX_TIMEOUT_MILLIS = 600_000;
  private static final int MAX_COLD_START_MILLIS = 3_600_000;
  private static final int MAX_SLOTS = 100_000;
  private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern REGION = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
  private static final Pattern PATH_PREFIX = Pattern.compile("/|(/[^/?#\\s]+)+/?");
  private static final String NAME = "name";

  private static final Map<ObjectKind, ObjectSchema> SCHEMAS =
      Vector.of(failureDomain(), service(), customer(), key(), route(), drain())
          .toMap(ObjectSchema::kind, schema -> schema);

  /** Returns the schema of a kind. */
  public static ObjectSchema of(ObjectKind kind) {
    return SCHEMAS.get(kind).get();
  }

  /** Returns the schema of a field; none if the kind has no such field. */
  public Option<FieldSchema> field(String name) {
    return fields.find(field -> field.name().equals(name));
  }

  private static ObjectSchema failureDomain() {
    return new ObjectSchema(
        ObjectKind.FAILURE_DOMAIN,
        NAME,
        Vector.of(
            FieldSchema.name(NAME),
            FieldSchema.text("region", "the name of a region", REGION),
            FieldSchema.booleanFlag("inService")),
        Vector.empty());
  }

  private static ObjectSchema service() {
    return new ObjectSchema(
        ObjectKind.SERVICE,
        NAME,
        Vector.of(
            FieldSchema.name(NAME),
            FieldSchema.wholeNumber("floorPercent", "percent", 0, MAX_PERCENT),
            FieldSchema.wholeNumber("minBackendServers", "backend servers", 1, MAX_BACKEND_SERVERS),
            FieldSchema.wholeNumber("timeoutMillis", "milliseconds", 1, MAX_TIMEOUT_MILLIS),
            FieldSchema.wholeNumber("coldStartMillis", "milliseconds", 0, MAX_COLD_START_MILLIS),
            FieldSchema.wholeNumber("coldStartSlots", "slots", 1, MAX_SLOTS),
            FieldSchema.name(DEFAULTS_FROM).optional()),
        Vector.of(new ReferenceField(DEFAULTS_FROM, ObjectKind.SERVICE)));
  }

  private static ObjectSchema customer() {
    return new ObjectSchema(
        ObjectKind.CUSTOMER,
        NAME,
        Vector.of(
            FieldSchema.name(NAME),
            FieldSchema.decimalNumber("ratePerSecond", "requests a second", 0, MAX_RATE_PER_SECOND),
            FieldSchema.wholeNumber("burstRequests", "requests", 1, MAX_BURST_REQUESTS),
            FieldSchema.wholeNumber("weight", "parts", 1, MAX_WEIGHT).optional()),
        Vector.empty());
  }

  private static ObjectSchema key() {
    return new ObjectSchema(
        ObjectKind.KEY,
        NAME,
        Vector.of(
            FieldSchema.name(NAME),
            FieldSchema.name("customer"),
            FieldSchema.text(
                "sha256Hex", "the key's SHA-256 hash in 64 lower-case hex digits", SHA256_HEX)),
        Vector.of(new ReferenceField("customer", ObjectKind.CUSTOMER)));
  }

  private static ObjectSchema route() {
    return new ObjectSchema(
        ObjectKind.ROUTE,
        NAME,
        Vector.of(
            FieldSchema.name(NAME),
            FieldSchema.text(
                "pathPrefix", "a path that starts with a slash, without query", PATH_PREFIX),
            FieldSchema.name("service"),
            FieldSchema.booleanFlag("openToAll"),
            FieldSchema.names("customers")),
        Vector.of(
            new ReferenceField("service", ObjectKind.SERVICE),
            new ReferenceField("customers", ObjectKind.CUSTOMER)));
  }

  private static ObjectSchema drain() {
    return new ObjectSchema(
        ObjectKind.DRAIN, "server", Vector.of(FieldSchema.name("server")), Vector.empty());
  }
}
