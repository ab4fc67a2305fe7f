package org.clementinepost.api.config;

/** An object that operators edit by name. */
public sealed interface ConfigurationObject
    permits Customer, Drain, FailureDomain, ApiKey, Route, Service {
  /** The object's kind. */
  ObjectKind kind();

  /** The object's name, unique within its kind. */
  String name();

  /** The kind and the name. */
  default ObjectRef ref() {
    return new ObjectRef(kind(), name());
  }
}
