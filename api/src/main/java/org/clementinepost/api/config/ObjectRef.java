package org.clementinepost.api.config;

import java.util.Comparator;

/**
 * A reference to a configuration object.
 *
 * @param kind the kind of the object
 * @param name its name, unique within the kind
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
