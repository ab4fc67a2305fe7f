package org.clementinepost.api.config;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/** The kinds of objects that operators edit. */
public enum ObjectKind {
  FAILURE_DOMAIN("failure-domain", "failure-domains"),
  SERVICE("service", "services"),
  CUSTOMER("customer", "customers"),
  KEY("key", "keys"),
  ROUTE("route", "routes"),
  DRAIN("drain", "drains");

  private final String label;
  private final String folder;

  ObjectKind(String label, String folder) {
    this.label = label;
    this.folder = folder;
  }

  /** The kind as a field {@code kind} names it. */
  public String label() {
    return label;
  }

  /** The folder that holds the files of this kind. */
  public String folder() {
    return folder;
  }

  /** Finds the kind that a field {@code kind} names. */
  public static Option<ObjectKind> ofLabel(String label) {
    return Vector.of(values()).find(kind -> kind.label.equals(label));
  }

  /** Finds the kind of the files in a folder. */
  public static Option<ObjectKind> ofFolder(String folder) {
    return Vector.of(values()).find(kind -> kind.folder.equals(folder));
  }
}
