package org.clementinepost.api.config;

import java.util.Comparator;

/**
 * Names one object of a configuration.
 *
 * @param kind the object's kind
 * @param name its name, unique within its kind
 */
public record ObjectRef(ObjectKind kind, String name) implements Comparable<ObjectRef> {
  private static final Comparator<ObjectRef> ORDER =
      Comparator.comparing(ObjectRef::kind).thenComparing(ObjectRef::name);

  @Override
  public int compareTo(ObjectRef other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return kind.label() + "/" + name;
  }
}
