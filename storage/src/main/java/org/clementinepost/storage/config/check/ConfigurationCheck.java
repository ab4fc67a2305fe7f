package org.clementinepost.storage.config.check;

import io.vavr.collection.Vector;
import org.clementinepost.storage.config.source.Finding;
import org.clementinepost.storage.config.source.SourceSet;

/** Checks a set of objects for one kind of problem. */
@FunctionalInterface
public interface ConfigurationCheck {
  /** Returns all findings, in any order. */
  Vector<Finding> check(SourceSet set);
}
