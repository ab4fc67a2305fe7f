package org.clementinepost.storage.config.check;

import io.vavr.collection.Vector;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.ObjectKind;
import org.clementinepost.storage.config.source.Finding;
import org.clementinepost.storage.config.source.SourceObject;
import org.clementinepost.storage.config.source.SourceSet;

/** Finds keys with the same hash: a caller's key would identify more than one customer. */
final class DuplicateKeyHash implements ConfigurationCheck {
  private static final String HASH = "sha256Hex";

  @Override
  public Vector<Finding> check(SourceSet set) {
    return set.ofKind(ObjectKind.KEY)
        .filter(key -> key.text(HASH).isDefined())
        .groupBy(key -> key.text(HASH).get())
        .values()
        .toVector()
        .flatMap(same -> same.tail().map(key -> finding(same.head(), key)));
  }

  private static Finding finding(SourceObject first, SourceObject key) {
    return key.finding(
        HASH,
        ResultCode.CONFIGURATION_DUPLICATE_NAME,
        "the key in " + first.file() + first.pointer() + " has the same hash",
        "grant a key of its own, or remove one of them");
  }
}
