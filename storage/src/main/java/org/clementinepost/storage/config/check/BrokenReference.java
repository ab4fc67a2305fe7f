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

/** Finds references to objects that are not in the set. */
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
        .reject(positionAndName -> set.find(reference.targetKind(), positionAndName._2).isDefined())
        .map(positionAndName -> finding(object, reference, positionAndName));
  }

  /** Returns the referenced names, each preceded by its position in the object. */
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
      SourceObject object, ReferenceField reference, Tuple2<String, String> positionAndName) {
    String kind = reference.targetKind().label();
    return new Finding(
        object.file(),
        object.pointer() + "/" + positionAndName._1,
        ResultCode.CONFIGURATION_BROKEN_REFERENCE,
        "there is no " + kind + " named " + positionAndName._2,
        "add it to " + reference.targetKind().folder() + "/, or name another " + kind);
  }
}
