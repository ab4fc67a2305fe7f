package org.clementinepost.storage.config.check;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.Tuple;
import io.vavr.Tuple2;
import io.vavr.collection.Vector;
import org.clementinepost.api.ResultCode;
import org.clementinepost.storage.config.source.Finding;
import org.clementinepost.storage.config.source.ReferenceField;
import org.clementinepost.storage.config.source.SourceObject;
import org.clementinepost.storage.config.source.SourceSet;

/** Finds fields that name an object which is not in the set. */
final class BrokenReference implements ConfigurationCheck {
  @Override
  public Vector<Finding> check(SourceSet set) {
    return set.objects()
        .flatMap(
            object ->
                object
                    .schema()
                    .references()
                    .flatMap(reference -> findBroken(set, object, reference)));
  }

  private static Vector<Finding> findBroken(
      SourceSet set, SourceObject object, ReferenceField reference) {
    return referencedNames(object, reference.field())
        .reject(place -> set.find(reference.targetKind(), place._2).isDefined())
        .map(place -> finding(object, reference, place));
  }

  /** The named objects, each with the place in the object where it is named. */
  private static Vector<Tuple2<String, String>> referencedNames(SourceObject object, String field) {
    JsonNode value = object.field(field).getOrNull();
    if (value == null) {
      return Vector.empty();
    }
    if (value.isTextual()) {
      return Vector.of(Tuple.of(field, value.asText()));
    }
    return Vector.ofAll(value)
        .zipWithIndex()
        .filter(element -> element._1.isTextual())
        .map(element -> Tuple.of(field + "/" + element._2, element._1.asText()));
  }

  private static Finding finding(
      SourceObject object, ReferenceField reference, Tuple2<String, String> place) {
    String kind = reference.targetKind().label();
    return new Finding(
        object.file(),
        object.pointer() + "/" + place._1,
        ResultCode.CONFIGURATION_BROKEN_REFERENCE,
        "there is no " + kind + " named " + place._2,
        "add it to " + reference.targetKind().folder() + "/, or name another " + kind);
  }
}
