package org.clementinepost.api.config;

/** A named configuration object that operators edit. */
public sealed interface ConfigurationObject
    permits Customer, Drain, FailureDomain, ApiKey, Route, Service {
  /** Returns the kind. */
  ObjectKind kind();

  /** Returns the name, unique within the kind. */
  String name();

  /** Returns a reference made of the kind and the name. */
  default ObjectRef ref() {
    return new ObjectRef(kind(), name());
  }
}
