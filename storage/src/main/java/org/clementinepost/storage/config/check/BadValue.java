package org.clementinepost.storage.config.check;

import io.vavr.collection.Vector;
import org.clementinepost.api.ResultCode;
import org.clementinepost.storage.config.source.FieldSchema;
import org.clementinepost.storage.config.source.Finding;
import org.clementinepost.storage.config.source.SourceObject;
import org.clementinepost.storage.config.source.SourceSet;

/** Finds values of the wrong type, in the wrong unit or out of bounds. */
final class BadValue implements ConfigurationCheck {
  @Override
  public Vector<Finding> check(SourceSet set) {
    return set.objects()
        .flatMap(object -> object.schema().fields().flatMap(field -> finding(object, field)));
  }

  private static Vector<Finding> finding(SourceObject object, FieldSchema field) {
    return object
        .field(field.name())
        .filter(value -> !field.validator().test(value))
        .map(
            value ->
                object.finding(
                    field.name(),
                    ResultCode.CONFIGURATION_BAD_VALUE,
                    field.name() + " cannot be " + value,
                    "write " + field.allowedValues()))
        .toVector();
  }
}
