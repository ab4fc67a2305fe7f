package org.clementinepost.storage.config.check;

import io.vavr.collection.Vector;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.ObjectRef;
import org.clementinepost.storage.config.source.Finding;
import org.clementinepost.storage.config.source.SourceObject;
import org.clementinepost.storage.config.source.SourceSet;

/** Finds objects of one kind that share a name. */
final class DuplicateName implements ConfigurationCheck {
  @Override
  public Vector<Finding> check(SourceSet set) {
    return set.objects()
        .filter(object -> object.name().isDefined())
        .reject(object -> set.find(object.kind(), object.name().get()).get().equals(object))
        .map(object -> finding(set, object));
  }

  private static Finding finding(SourceSet set, SourceObject object) {
    ObjectRef ref = new ObjectRef(object.kind(), object.name().get());
    SourceObject first = set.byRef().get(ref).get();
    return object.finding(
        object.schema().nameField(),
        ResultCode.CONFIGURATION_DUPLICATE_NAME,
        ref + " is also defined in " + first.file() + first.pointer(),
        "give one of them another name, or remove it");
  }
}
