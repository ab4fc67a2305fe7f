package org.clementinepost.api.config;

import org.clementinepost.api.BackendServerId;

/** An operator's order that a backend server get no new work. */
public record Drain(BackendServerId server) implements ConfigurationObject {
  @Override
  public ObjectKind kind() {
    return ObjectKind.DRAIN;
  }

  @Override
  public String name() {
    return server.value();
  }
}
