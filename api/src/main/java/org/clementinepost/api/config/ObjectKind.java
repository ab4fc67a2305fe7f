package org.clementinepost.api.config;

import io.vavr.collection.Vector;
import io.vavr.control.Option;

/** The kinds of configuration objects. */
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

  /** Returns the value of the field {@code kind} for this kind. */
  public String label() {
    return label;
  }

  /** Returns the folder that holds the files of this kind. */
  public String folder() {
    return folder;
  }

  /** Returns the kind with the given value of the field {@code kind}. */
  public static Option<ObjectKind> ofLabel(String label) {
    return Vector.of(values()).find(kind -> kind.label.equals(label));
  }

  /** Returns the kind whose files are in the given folder. */
  public static Option<ObjectKind> ofFolder(String folder) {
    return Vector.of(values()).find(kind -> kind.folder.equals(folder));
  }
}
