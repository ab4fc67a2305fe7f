package org.clementinepost.storage.config.check;

import io.vavr.collection.Vector;
import org.clementinepost.storage.config.source.Finding;
import org.clementinepost.storage.config.source.SourceSet;

/** Looks for one kind of problem in a set of objects. */
@FunctionalInterface
public interface ConfigurationCheck {
  /** Gives every finding, in any order. */
  Vector<Finding> check(SourceSet set);
}
