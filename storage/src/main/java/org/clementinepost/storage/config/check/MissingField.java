package org.clementinepost.storage.config.check;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.api.ResultCode;
import org.clementinepost.storage.config.source.FieldSchema;
import org.clementinepost.storage.config.source.Finding;
import org.clementinepost.storage.config.source.SourceObject;
import org.clementinepost.storage.config.source.SourceSet;

/** Finds required fields that an object neither contains nor inherits from its defaults. */
final class MissingField implements ConfigurationCheck {
  @Override
  public Vector<Finding> check(SourceSet set) {
    return set.objects().flatMap(object -> findMissing(set, object));
  }

  private static Vector<Finding> findMissing(SourceSet set, SourceObject object) {
    Map<String, JsonNode> fields = set.effectiveFields(object);
    return object
        .schema()
        .fields()
        .filter(FieldSchema::required)
        .reject(field -> fields.containsKey(field.name()))
        .map(
            field ->
                object.finding(
                    ResultCode.CONFIGURATION_MISSING_FIELD,
                    "the field " + field.name() + " is missing",
                    "add " + field.name() + ", " + field.allowedValues()));
  }
}
