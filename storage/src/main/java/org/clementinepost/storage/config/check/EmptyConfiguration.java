package org.clementinepost.storage.config.check;

import io.vavr.collection.Vector;
import org.clementinepost.api.ResultCode;
import org.clementinepost.storage.config.source.Finding;
import org.clementinepost.storage.config.source.SourceSet;

/** Finds a set without objects: publishing it would remove every route. */
final class EmptyConfiguration implements ConfigurationCheck {
  @Override
  public Vector<Finding> check(SourceSet set) {
    if (!set.objects().isEmpty()) {
      return Vector.empty();
    }
    return Vector.of(
        new Finding(
            ".",
            "",
            ResultCode.CONFIGURATION_NOTHING_FOUND,
            "no object was found",
            "specify the folder that contains services/, routes/ and the other kinds"));
  }
}
