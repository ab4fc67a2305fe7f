package org.clementinepost.storage.config.check;

import io.vavr.collection.Vector;
import java.util.regex.Pattern;
import org.clementinepost.api.ResultCode;
import org.clementinepost.storage.config.source.FieldSchema;
import org.clementinepost.storage.config.source.Finding;
import org.clementinepost.storage.config.source.SourceObject;
import org.clementinepost.storage.config.source.SourceSet;

/**
 * Finds fields that the kind of the object does not have, often a known field with another unit.
 */
final class UnknownField implements ConfigurationCheck {
  private static final Pattern UNIT_SUFFIX =
      Pattern.compile(
          "(Millis|Ms|Seconds|Secs|Minutes|Percent|Ratio|Requests|PerSecond|PerMinute|Hex)$");

  @Override
  public Vector<Finding> check(SourceSet set) {
    return set.objects()
        .flatMap(
            object ->
                object
                    .fields()
                    .keySet()
                    .filter(field -> object.schema().field(field).isEmpty())
                    .map(field -> finding(object, field)));
  }

  private static Finding finding(SourceObject object, String field) {
    return object.finding(
        field,
        ResultCode.CONFIGURATION_UNKNOWN_FIELD,
        "a " + object.kind().label() + " has no field " + field,
        hint(object, field));
  }

  private static String hint(SourceObject object, String field) {
    Vector<FieldSchema> fields = object.schema().fields();
    return fields
        .find(known -> withoutUnit(known.name()).equals(withoutUnit(field)))
        .map(known -> "write " + known.name() + ", " + known.allowedValues())
        .getOrElse(() -> "use one of " + fields.map(FieldSchema::name).mkString(", "));
  }

  private static String withoutUnit(String field) {
    return UNIT_SUFFIX.matcher(field).replaceFirst("");
  }
}
